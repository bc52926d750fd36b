package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// waitingRequests are whole requests of callers whose connections wait to be accepted.
var waitingRequests = map[string]string{
	"plain":       "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
	"with a body": "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n\r\n" + strings.Repeat("b", 40000),
	"in chunks":   "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"HEAD":        "HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n",
	"HTTP/1.0":    "GET /x HTTP/1.0\r\nHost: h\r\n\r\n",
	slowBody:      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nfirst",
}

// slowBody is the waiting request whose body ends with slowRest after the listener was closed.
const (
	slowBody = "body on its way"
	slowRest = "again"
)

// Guards against resetting connections in the accept queue, with whole requests sent on them,
// when the listener closes.
func TestWaitingRequestsAreAnsweredWhenTheListenerCloses(t *testing.T) {
	const limit = 2 // connections
	for name, end := range map[string]func(a *recordedAcceptor, cpu *fakeCPU, release func()){
		"requests in progress are stalled": func(_ *recordedAcceptor, cpu *fakeCPU, release func()) {
			cpu.isStalled.Store(true)
			release()
		},
		"draining": func(a *recordedAcceptor, _ *fakeCPU, release func()) {
			a.stopAccepting()
			go a.finish(context.Background())
			release()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cpu := new(fakeCPU)
			hold := make(chan struct{})
			release := sync.OnceFunc(func() { close(hold) })
			t.Cleanup(release)
			a := runAcceptor(t, limit, cpu, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				<-hold
			})
			for range limit {
				dial(t, a.address)
			}
			awaitCount(t, "connections served", func() int { return max(0, a.callers.count(connServing)-limit+1) })
			waiting := sendWaiting(t, a.address)
			end(a, cpu, release)
			time.Sleep(50 * time.Millisecond) // until the listener is closed
			if _, err := io.WriteString(waiting[slowBody], slowRest); err != nil {
				t.Error(err)
			}
			for name, conn := range waiting {
				checkAnswered(t, name, conn)
			}
		})
	}
}

// sendWaiting sends the waiting requests, each on a new connection.
func sendWaiting(t *testing.T, address string) map[string]net.Conn {
	t.Helper()
	conns := make(map[string]net.Conn)
	for name, text := range waitingRequests {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		conns[name] = conn
	}
	time.Sleep(50 * time.Millisecond) // until all bytes have arrived
	return conns
}

// checkAnswered checks that a request has a complete answer, and that its connection ends after
// it.
func checkAnswered(t *testing.T, name string, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	method, _, _ := strings.Cut(waitingRequests[name], " ")
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		t.Errorf("%s: no answer: %v", name, err)
		return
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Errorf("%s: status %d, body: %v", name, response.StatusCode, err)
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		t.Errorf("%s: a refusal without Retry-After", name)
	}
	if rest, err := io.ReadAll(reader); err != nil || len(rest) > 0 {
		t.Errorf("%s: %q, %v after the answer, want the end of the connection", name, rest, err)
	}
}

// Guards against a router that ends, with all requests in progress, because its address can't be
// taken again for a moment after it has refused connections.
func TestListenerThatCannotBeReopenedAtOnceIsRetried(t *testing.T) {
	cpu := new(fakeCPU)
	a := runAcceptor(t, 10, cpu, func(http.ResponseWriter, *http.Request) {})
	cpu.isStalled.Store(true)
	if conn, err := net.Dial("tcp", a.address); err == nil { // ends an accept that has begun
		defer conn.Close()
	}
	awaitCount(t, "load shedding", func() int { return int(cpu.sheddings.Load()) })
	other := listenEventually(t, a.address)
	cpu.isStalled.Store(false)
	time.Sleep(100 * time.Millisecond)
	other.Close()
	awaitListener(t, a.address)
	if !answersWithin(t, dial(t, a.address), time.Second) {
		t.Error("a caller is not served after the address was free again")
	}
}

// listenEventually listens at the address as soon as it is free.
func listenEventually(t *testing.T, address string) net.Listener {
	t.Helper()
	var failure error
	for range 100 {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener
		}
		failure = err
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal(fmt.Errorf("address not free: %w", failure))
	return nil
}

// BenchmarkWaitingRequestsAreRefused measures what it costs to refuse a request whose connection
// waits to be accepted: time, and memory.
func BenchmarkWaitingRequestsAreRefused(b *testing.B) {
	const waiting = 500
	a := newAcceptor(http.NotFoundHandler(), 10, idleCPU{}, newDrainState())
	refused := 0
	b.ReportAllocs()
	for refused < b.N {
		b.StopTimer()
		listener, err := a.listen(context.Background(), "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		conns := make([]net.Conn, min(waiting, b.N-refused))
		for i := range conns {
			if conns[i], err = net.Dial("tcp", listener.Addr().String()); err != nil {
				b.Fatal(err)
			}
			if _, err := io.WriteString(conns[i], waitingRequests["plain"]); err != nil {
				b.Fatal(err)
			}
		}
		b.StartTimer()
		refused += a.emptyAcceptQueue(listener)
		b.StopTimer()
		listener.Close()
		for _, conn := range conns {
			conn.Close()
		}
		b.StartTimer()
	}
}

// Guards against a router that goes on to refuse a flood of new connections while requests in
// progress are stalled, instead of closing its listener.
func TestFloodDoesNotKeepAStalledRouterFromClosing(t *testing.T) {
	const waiting = 20
	a := newAcceptor(http.NotFoundHandler(), 10, idleCPU{}, newDrainState())
	listener, err := a.listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	arrive := func() { dial(t, listener.Addr().String()) }
	a.unread.refused = func(*http.Request, Refusal) { arrive() }
	for range waiting {
		arrive()
	}
	time.Sleep(20 * time.Millisecond) // until their requests have arrived
	if refused := a.emptyAcceptQueue(listener); refused != waiting {
		t.Errorf("%d requests are refused, want the %d that waited", refused, waiting)
	}
	listener.Close()
}
