package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/testaddr"
)

// idleCPU is a cpuMonitor that never reports a stall.
type idleCPU struct{}

func (idleCPU) stalled() bool                { return false }
func (idleCPU) recordShedding()              {}
func (idleCPU) recovered() bool              { return true }
func (idleCPU) recordRecovery(time.Duration) {}

// Guards against a request that is read after the last check for requests in progress, and
// whose connection is then closed without an answer.
func TestRequestReadWhenDrainingEndsIsAnswered(t *testing.T) {
	const trials, together = 200, 8
	var lost atomic.Int32
	for first := 0; first < trials; first += together {
		var group sync.WaitGroup
		for i := range together {
			// Around the time at which no request has been in progress for
			// drainQuietPeriod.
			delay := drainQuietPeriod + time.Duration((first+i)%50)*100*time.Microsecond
			group.Go(func() { lost.Add(lostAtEnd(t, delay)) })
		}
		group.Wait()
	}
	if n := lost.Load(); n > 0 {
		t.Errorf("%d requests were read and not answered", n)
	}
}

// lostAtEnd sends requests on new connections at the given time after draining has begun.
// It returns how many are read but not answered.
func lostAtEnd(t *testing.T, delay time.Duration) int32 {
	const requests = 10
	drain := newDrainState()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	})
	e := newAcceptor(handler, 4*requests, idleCPU{}, drain)
	address := testaddr.Free(t)
	go func() { _ = e.run(t.Context(), fleet.Address(address)) }() // ends with the listener
	awaitListener(t, address)
	conns := make([]net.Conn, requests)
	for i := range conns {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Error(err)
			return 0
		}
		defer conn.Close()
		conns[i] = conn
	}
	time.Sleep(20 * time.Millisecond) // until they are accepted
	at := make(map[string]*callerConn)
	for _, conn := range e.callers.all() {
		at[conn.RemoteAddr().String()] = conn
	}
	e.stopAccepting()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		e.finish(context.Background())
	}()
	time.Sleep(delay)
	var lost atomic.Int32
	var group sync.WaitGroup
	for _, conn := range conns {
		group.Go(func() {
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				return // the connection was already closed
			}
			if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				return
			}
			if server := at[conn.LocalAddr().String()]; server != nil && server.inState(connReading, connServing) {
				lost.Add(1)
			}
		})
	}
	group.Wait()
	<-finished
	return lost.Load()
}
