package backendconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// openings collects the reports of a pool.
type openings struct {
	mu  sync.Mutex
	all []Opening
}

func newObservedPool() (*Pool, *openings) {
	pool, reports := NewPool(), &openings{}
	pool.OnOpen(func(opening Opening) {
		reports.mu.Lock()
		defer reports.mu.Unlock()
		reports.all = append(reports.all, opening)
	})
	return pool, reports
}

func (o *openings) check(t *testing.T, want ...Reason) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	var got []Reason
	for _, opening := range o.all {
		got = append(got, opening.Reason)
	}
	if !slices.Equal(got, want) {
		t.Errorf("connections were opened for %v, want %v", got, want)
	}
}

// echoServer answers each request with its id; the header lines are added to the answers.
func echoServer(t *testing.T, headers string) *scriptedServer {
	t.Helper()
	return serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for request := readRequest(reader); request != nil; request = readRequest(reader) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\n"+headers+"Content-Length: 0\r\n\r\n")
		}
	})
}

func mustExchange(t *testing.T, pool *Pool, address fleet.Address, id string) {
	t.Helper()
	if _, err := exchange(t, pool, address, newRequest(id)); err != nil {
		t.Fatal(err)
	}
}

// expireIdle makes all idle connections unusable, as if their time had passed.
func expireIdle(pool *Pool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, host := range pool.hosts {
		for _, c := range host.idle {
			c.usableUntil = boottime.Now()
		}
	}
}

// sendAndHold sends a request and returns its answer unread, so that the connection stays
// in use.
func sendAndHold(t *testing.T, pool *Pool, address fleet.Address, id string) *Answer {
	t.Helper()
	answer, err := pool.Do(t.Context(), address, newRequest(id))
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// drainAndClose reads the answer to its end and returns its connection to the pool.
func drainAndClose(t *testing.T, answer *Answer) {
	t.Helper()
	if _, err := io.Copy(io.Discard, answer); err != nil {
		t.Fatal(err)
	}
	answer.Close()
}

// Guards against reporting a reused connection, and against taking growing load for lost
// connections.
func TestReasonFirstAndBusy(t *testing.T) {
	server := echoServer(t, "Keep-Alive: timeout=60\r\n")
	pool, seen := newObservedPool()
	mustExchange(t, pool, server.address, "1")
	first := sendAndHold(t, pool, server.address, "2")
	second := sendAndHold(t, pool, server.address, "3")
	drainAndClose(t, first)
	drainAndClose(t, second)
	mustExchange(t, pool, server.address, "4")
	seen.check(t, ReasonFirst, ReasonBusy)
}

// Guards against expired connections reported as busy: a burst that finds its connections
// expired opens all of them for that reason.
func TestReasonExpiredCountsEachLostConnection(t *testing.T) {
	for name, swept := range map[string]bool{"found at use": false, "found by the sweep": true} {
		t.Run(name, func(t *testing.T) {
			server := echoServer(t, "Keep-Alive: timeout=5\r\n")
			pool, seen := newObservedPool()
			burst := func(size int) {
				var answers []*Answer
				for range size {
					answers = append(answers, sendAndHold(t, pool, server.address, "x"))
				}
				for _, answer := range answers {
					drainAndClose(t, answer)
				}
			}
			burst(2)
			expireIdle(pool)
			if swept {
				pool.closeIdle(func(c *conn) bool { return boottime.Now() >= c.usableUntil })
			}
			burst(3)
			seen.check(t, ReasonFirst, ReasonBusy, ReasonExpired, ReasonExpired, ReasonBusy)
			if got := seen.all[2]; got.StatedTimeout != 5*time.Second || got.IdleTime <= 0 {
				t.Errorf("%+v, want an idle time and the stated timeout", got)
			}
		})
	}
}

// Guards against blaming the router's idle timeout, or a failure, when the peer closes
// connections.
func TestReasonClosed(t *testing.T) {
	for name, text := range map[string]string{
		"while idle":  "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n",
		"announced":   "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"stray bytes": "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\nHTTP",
	} {
		t.Run(name, func(t *testing.T) {
			server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				io.WriteString(conn, text)
			})
			pool, seen := newObservedPool()
			mustExchange(t, pool, server.address, "1")
			time.Sleep(50 * time.Millisecond)
			mustExchange(t, pool, server.address, "1")
			seen.check(t, ReasonFirst, ReasonClosed)
			if got := seen.all[1].IdleTime; got < 50*time.Millisecond || got > 5*time.Second {
				t.Errorf("idle for %v, want the time since the answer", got)
			}
		})
	}
}

// Guards against failures that look like disconnected callers, both before and within an
// answer.
func TestReasonBroken(t *testing.T) {
	for name, text := range map[string]string{
		"no answer":   "",
		"half answer": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				io.WriteString(conn, text)
			})
			pool, seen := newObservedPool()
			for range 2 {
				if _, err := exchange(t, pool, server.address, newRequest("1")); err == nil {
					t.Fatal("the exchange did not fail")
				}
			}
			seen.check(t, ReasonFirst, ReasonBroken)
		})
	}
}

// Guards against counting disconnected callers as failures of backend servers.
func TestReasonAbandoned(t *testing.T) {
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf")
		io.Copy(io.Discard, reader) // until the connection ends
	})
	pool, seen := newObservedPool()

	sendAndHold(t, pool, server.address, "1").Close() // the answer is not read to its end

	ctx, cancel := context.WithCancel(t.Context())
	answer, err := pool.Do(ctx, server.address, newRequest("1"))
	if err != nil {
		t.Fatal(err)
	}
	cancel() // the caller disconnects while the answer is read
	if _, err := io.Copy(io.Discard, answer); err == nil {
		t.Fatal("the answer did not end with an error")
	}
	answer.Close()

	unsent := newRequest("1")
	unsent.BeforeSend = func() error { return ErrCallerDisconnected }
	if _, err := pool.Do(t.Context(), server.address, unsent); err == nil {
		t.Fatal("the request was sent")
	}

	sendAndHold(t, pool, server.address, "1").Close()
	seen.check(t, ReasonFirst, ReasonAbandoned, ReasonAbandoned, ReasonAbandoned)
}

// Guards against blaming idle timeouts for lost connections to a backend server that was
// replaced: no timeout would have kept them.
func TestReasonReplaced(t *testing.T) {
	server := echoServer(t, "Keep-Alive: timeout=60\r\n")
	pool, seen := newObservedPool()
	mustExchange(t, pool, server.address, "1")
	pool.DropIdle(server.address)
	mustExchange(t, pool, server.address, "2")
	expireIdle(pool)
	pool.closeIdle(func(c *conn) bool { return boottime.Now() >= c.usableUntil })
	pool.DropIdle(server.address)
	mustExchange(t, pool, server.address, "3")
	seen.check(t, ReasonFirst, ReasonReplaced, ReasonReplaced)
}

// Guards against losing the reason, or counting a connection, when the opening fails: after
// an outage the new connection would count as the first one.
func TestFailedOpeningKeepsTheReason(t *testing.T) {
	server := echoServer(t, "")
	pool, seen := newObservedPool()
	mustExchange(t, pool, server.address, "1")
	expireIdle(pool)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := pool.Do(gone, server.address, newRequest("2")); err == nil {
		t.Fatal("a connection was opened in an ended context")
	}
	mustExchange(t, pool, server.address, "3")
	seen.check(t, ReasonFirst, ReasonExpired)
}

// Guards against connections that are dropped while their server would still accept
// requests on them, and against connections that are used until the very end of the stated
// timeout.
func TestStatedIdleTimeoutIsUsedUpToAMargin(t *testing.T) {
	for stated, want := range map[time.Duration]time.Duration{
		time.Second:      700 * time.Millisecond,
		10 * time.Second: 9500 * time.Millisecond,
		0:                defaultIdleLifetime,
	} {
		if got := idleLifetime(stated); got != want {
			t.Errorf("stated %v: used for %v, want %v", stated, got, want)
		}
	}
}
