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
	// longWorkMs keeps the slots in use while the other requests wait.
	longWorkMs = 30000
	// minWaitingShare is the fraction of the requests that must be waiting
	// before the memory is read.
	minWaitingShare = 0.98
	// waitingTimeout is the maximum time until minWaitingShare is reached.
	waitingTimeout = 30 * time.Second
	pollInterval   = 100 * time.Millisecond
	// memoryReturnDelay is the time before the last figures are read. The Go
	// runtime returns freed memory to the operating system with a delay.
	memoryReturnDelay = 10 * time.Second
	mebibyte          = 1 << 20
)

// WaitingFigures are the memory costs of waiting requests of 4 KB at a router.
type WaitingFigures struct {
	Waiting               float64 `json:"waiting"` // number of waiting requests
	ResidentMiB           float64 `json:"resident_mib"`
	ResidentPerRequest    float64 `json:"resident_bytes_per_request"` // increase over the size before
	ResidentMiBAfterDelay float64 `json:"resident_mib_after_10_s"`
	HeapPerRequest        float64 `json:"heap_bytes_per_request"`
	StackPerRequest       float64 `json:"stack_bytes_per_request"`
}

// Waiting sends requests, each on its own connection, and reads the router's
// memory use while they wait. The service must have few slots.
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
	if err := sleep(ctx, memoryReturnDelay); err != nil {
		return figures, err
	}
	return figures, figures.readAfterDelay(ctx, metrics, count)
}

// readAfterDelay reads the figures that depend on freed memory having been
// returned.
func (f *WaitingFigures) readAfterDelay(ctx context.Context, metrics string, count float64) error {
	for _, figure := range []struct {
		name  string
		unit  float64
		value *float64
	}{
		{metricResident, mebibyte, &f.ResidentMiBAfterDelay},
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

// sendAll sends the requests and returns their open connections, also if it
// returns an error.
func sendAll(ctx context.Context, target Target, requests int) ([]net.Conn, error) {
	routerURL, err := url.Parse(target.URL)
	if err != nil {
		return nil, errors.Wrap(err, "router")
	}
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nX-Work-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		routerURL.RequestURI(), target.APIKey, longWorkMs, bodyBytes, strings.Repeat("x", bodyBytes))
	var dialer net.Dialer
	var conns []net.Conn
	for range requests {
		conn, err := dialer.DialContext(ctx, "tcp", routerURL.Host)
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

// awaitWaiting waits until minWaitingShare of the requests are waiting, up to
// waitingTimeout, and returns their number.
func awaitWaiting(ctx context.Context, metrics string, requests int) (float64, error) {
	for deadline := time.Now().Add(waitingTimeout); ; {
		if err := sleep(ctx, pollInterval); err != nil {
			return 0, err
		}
		waiting, err := readMetric(ctx, metrics, metricWaiting)
		if err != nil || waiting >= minWaitingShare*float64(requests) || !time.Now().Before(deadline) {
			return waiting, err
		}
	}
}
