package measurepath

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	bodyBytes = 4096
	// longWorkMs keeps the slots taken while the others wait.
	longWorkMs = 30000
	// waitingPart of the requests must wait before the memory is read.
	waitingPart = 0.98
	// waitingLimit ends the wait for requests that never come to wait.
	waitingLimit = 30 * time.Second
	pollInterval = 100 * time.Millisecond
	// returnTime passes before the last figures are read, because what the
	// runtime has freed goes back to the machine with a delay.
	returnTime = 10 * time.Second
	mebibyte   = 1 << 20
)

// WaitingFigures tell what waiting requests of 4 KB cost a router.
type WaitingFigures struct {
	Waiting            float64 `json:"waiting"` // requests that waited
	ResidentMiB        float64 `json:"resident_mib"`
	ResidentPerRequest float64 `json:"resident_bytes_per_request"` // above the size before
	LaterMiB           float64 `json:"resident_mib_after_10_s"`
	HeapPerRequest     float64 `json:"heap_bytes_per_request"`
	StackPerRequest    float64 `json:"stack_bytes_per_request"`
}

// Waiting sends requests, each on a connection of its own, and reads the
// router's memory while they wait. The service must have few slots.
func Waiting(ctx context.Context, target Target, metrics string, requests int) (WaitingFigures, error) {
	before, err := readMetric(ctx, metrics, metricResident)
	if err != nil {
		return WaitingFigures{}, err
	}
	conns, err := sendAll(ctx, target, requests)
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	if err != nil {
		return WaitingFigures{}, err
	}
	var figures WaitingFigures
	if figures.Waiting, err = awaitWaiting(ctx, metrics, requests); err != nil {
		return figures, err
	}
	resident, err := readMetric(ctx, metrics, metricResident)
	if err != nil {
		return figures, err
	}
	count := max(1, figures.Waiting)
	figures.ResidentMiB = resident / mebibyte
	figures.ResidentPerRequest = (resident - before) / count
	if err := pause(ctx, returnTime); err != nil {
		return figures, err
	}
	return figures, figures.readLater(ctx, metrics, count)
}

// readLater reads the figures after the runtime has given memory back.
func (f *WaitingFigures) readLater(ctx context.Context, metrics string, count float64) error {
	for _, figure := range []struct {
		name  string
		unit  float64
		value *float64
	}{
		{metricResident, mebibyte, &f.LaterMiB},
		{metricHeap, count, &f.HeapPerRequest},
		{metricStack, count, &f.StackPerRequest},
	} {
		value, err := readMetric(ctx, metrics, figure.name)
		if err != nil {
			return err
		}
		*figure.value = value / figure.unit
	}
	return nil
}

// sendAll sends the requests and returns their open connections, also with an
// error.
func sendAll(ctx context.Context, target Target, requests int) ([]net.Conn, error) {
	where, err := url.Parse(target.URL)
	if err != nil {
		return nil, errors.Wrap(err, "router")
	}
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nX-Work-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		where.RequestURI(), target.APIKey, longWorkMs, bodyBytes, strings.Repeat("x", bodyBytes))
	var dialer net.Dialer
	var conns []net.Conn
	for range requests {
		conn, err := dialer.DialContext(ctx, "tcp", where.Host)
		if err != nil {
			return conns, errors.Wrap(err, "connection")
		}
		conns = append(conns, conn)
		if _, err := conn.Write([]byte(text)); err != nil {
			return conns, errors.Wrap(err, "request")
		}
	}
	return conns, nil
}

// awaitWaiting waits until nearly all requests wait, for a limited time, and
// returns how many do.
func awaitWaiting(ctx context.Context, metrics string, requests int) (float64, error) {
	for deadline := time.Now().Add(waitingLimit); ; {
		if err := pause(ctx, pollInterval); err != nil {
			return 0, err
		}
		waiting, err := readMetric(ctx, metrics, metricWaiting)
		if err != nil || waiting >= waitingPart*float64(requests) || !time.Now().Before(deadline) {
			return waiting, err
		}
	}
}
