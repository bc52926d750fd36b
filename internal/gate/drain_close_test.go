package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// hookedConn is a connection that calls a function after each look at its socket.
type hookedConn struct {
	*net.TCPConn
	afterLook func()
}

// SyscallConn implements syscall.Conn.
func (c *hookedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return hookedRawConn{raw, c.afterLook}, err
}

type hookedRawConn struct {
	syscall.RawConn
	afterLook func()
}

// Control implements syscall.RawConn.
func (c hookedRawConn) Control(look func(fd uintptr)) error {
	err := c.RawConn.Control(look)
	c.afterLook()
	return err
}

// Guards against canceling a request, as if its caller had disconnected, that arrives on an idle
// connection just as that is closed.
func TestRequestThatArrivesWhileItsIdleConnectionIsClosedIsServed(t *testing.T) {
	for name, parts := range map[string][]string{
		"at once":      {"GET /next HTTP/1.1\r\nHost: h\r\n\r\n"},
		"in two parts": {"GET /next HTTP/1.1\r\n", "Host: h\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			const served = 100 * time.Millisecond
			a := newAcceptor(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/next" {
					return
				}
				select {
				case <-r.Context().Done():
					t.Error("the request is canceled")
				case <-time.After(served):
				}
			}), 10, idleCPU{}, newDrainState())
			caller, accepted := connectedPair(t)
			var look sync.Mutex
			var arrive func()
			a.callers.slots <- struct{}{}
			conn := a.callers.add(&hookedConn{accepted, func() {
				look.Lock()
				defer look.Unlock()
				if arrive != nil {
					arrive()
					arrive = nil
				}
			}})
			a.current.conns.pass(conn)
			if _, err := request(caller, "/first"); err != nil {
				t.Fatal(err)
			}
			awaitCount(t, "idle connections", func() int { return a.callers.count(connIdle) })
			look.Lock()
			arrive = func() {
				_, _ = io.WriteString(caller, parts[0]) // a failure shows as a missing answer
				time.Sleep(20 * time.Millisecond)       // until it is read
			}
			look.Unlock()
			a.callers.closeIdle()
			for _, part := range parts[1:] {
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(caller, part) // likewise
			}
			if _, err := http.ReadResponse(bufio.NewReader(caller), nil); err != nil {
				t.Errorf("no answer: %v", err)
			}
		})
	}
}

// connectedPair returns the two ends of a connection.
func connectedPair(t *testing.T) (caller net.Conn, accepted *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close(); conn.Close() })
	return caller, conn.(*net.TCPConn)
}

// Guards against closing connections on which answers are due, by the clock, when the drain ends:
// on a busy processor an answer takes longer.
func TestAnswersThatAreDueWhenTheDrainEndsAreDelivered(t *testing.T) {
	for _, test := range []struct {
		name  string
		takes time.Duration // the answer, from the end of the drain
		end   func(a *recordedAcceptor, ask func())
	}{
		{"read when no request was in progress", 2 * shutdownMargin, func(a *recordedAcceptor, ask func()) {
			a.awaitIdle(context.Background())
			ask()
			a.end(context.Background())
		}},
		{"in progress when the time is over", shutdownMargin / 2, func(a *recordedAcceptor, ask func()) {
			ask()
			over, cancel := context.WithCancel(context.Background())
			cancel()
			a.finish(over)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			a := runAcceptor(t, 10, idleCPU{}, func(w http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				time.Sleep(test.takes)
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			conn, err := net.Dial("tcp", a.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			awaitCount(t, "connections", func() int { return len(a.callers.all()) })
			answered := make(chan error, 1)
			ask := func() {
				go func() {
					_, err := request(conn, "/x")
					answered <- err
				}()
				awaitCount(t, "requests served", func() int { return a.callers.count(connServing) })
			}
			a.stopAccepting()
			test.end(a, ask)
			if err := <-answered; err != nil {
				t.Errorf("no answer: %v", err)
			}
		})
	}
}

// Guards against closing connections whose answers are ready as a stall ends in which the time for
// final answers has passed. They are written just after the time is found to be over.
func TestAnswerThatIsReadyAfterAStallAtTheEndOfTheDrainIsDelivered(t *testing.T) {
	for _, test := range []struct {
		name      string
		takes     time.Duration // the answer, from the end of the drain
		delivered bool
	}{
		{"ready as the stall ends", finalAnswerTimeout + drainPollInterval/2, true},
		{"never ready in time", shutdownMargin, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newAcceptor(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					<-r.Context().Done()
					time.Sleep(test.takes)
					w.WriteHeader(http.StatusServiceUnavailable)
				}), 10, idleCPU{}, newDrainState())
				caller, accepted := net.Pipe()
				defer caller.Close()
				a.callers.slots <- struct{}{}
				a.current.conns.pass(a.callers.add(accepted))
				answered := make(chan error, 1)
				go func() {
					_, err := request(caller, "/x")
					answered <- err
				}()
				synctest.Wait() // until the request is served
				over, cancel := context.WithCancel(t.Context())
				cancel()
				start := time.Now()
				a.finish(over)
				if took := time.Since(start); took >= shutdownMargin {
					t.Errorf("the drain ends after %v, too late for the process", took)
				}
				if err := <-answered; (err == nil) != test.delivered {
					t.Errorf("delivered: %t (%v), want %t", err == nil, err, test.delivered)
				}
				time.Sleep(test.takes) // until the handler has returned
			})
		})
	}
}

// Guards against closing a connection on which the next request has arrived, because its long
// answer has ended after the listener was closed.
func TestRequestThatFollowsALongAnswerIsAnswered(t *testing.T) {
	var a *recordedAcceptor
	a = runAcceptor(t, 10, idleCPU{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/long" {
			return
		}
		w.Header().Set("Content-Length", "1")
		_, _ = io.WriteString(w, "x")
		_ = http.NewResponseController(w).Flush()
		a.stopAccepting()
		time.Sleep(50 * time.Millisecond) // until the next request has arrived
	})
	conn, err := net.Dial("tcp", a.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	response, err := request(conn, "/long")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	if _, err := request(conn, "/next"); err != nil {
		t.Errorf("no answer: %v", err)
	}
}

// Guards against resetting a request that arrives when the server has decided to close its
// connection and has not done so yet.
func TestRequestThatArrivesBeforeItsConnectionIsClosedIsRefused(t *testing.T) {
	a := runAcceptor(t, 10, idleCPU{}, func(http.ResponseWriter, *http.Request) {})
	a.drain.start(boottime.Now(), boottime.Now().Add(time.Second))
	caller, accepted := connectedPair(t)
	a.callers.slots <- struct{}{}
	conn := a.callers.add(accepted)
	if _, err := io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // until it has arrived
	conn.Close()
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, closing %v, header %v; want a refusal", response.StatusCode, response.Close, response.Header)
	}
	if got := a.count(t, causeUnread); got != 0 {
		t.Errorf("%d connections are recorded as closed unread", got)
	}
	if open := len(a.callers.all()); open != 0 {
		t.Errorf("%d connections still count as open", open)
	}
}
