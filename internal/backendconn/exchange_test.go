package backendconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// scriptedServer serves connections with a function and counts them.
type scriptedServer struct {
	address fleet.Address
	conns   atomic.Int32
}

// serve starts a backend server that handles each connection with the function. The reader
// reads what has arrived.
func serve(t testing.TB, handle func(conn net.Conn, reader *bufio.Reader)) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	server := &scriptedServer{address: fleet.Address(listener.Addr().String())}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.conns.Add(1)
			go func() {
				defer conn.Close()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return server
}

// readRequest reads one request with its body. It returns nil at the end.
func readRequest(reader *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil
	}
	return request
}

func newRequest(id string) *Request {
	return &Request{
		Method: http.MethodPost,
		URI:    "/a/b?c=d",
		Host:   "host.example",
		Header: http.Header{"Id": {id}},
		Body:   []byte("body"),
		Match: func(header http.Header) Match {
			switch header.Get("Id") {
			case id:
				return MatchOwn
			case "":
				return MatchUnidentified
			}
			return MatchOther
		},
	}
}

// exchange sends a request and reads its complete answer.
func exchange(t *testing.T, pool *Pool, address fleet.Address, request *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := pool.Do(ctx, address, request)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func TestConnectionIsReused(t *testing.T) {
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for request := readRequest(reader); request != nil; request = readRequest(reader) {
			io.WriteString(conn, answer(request.Header.Get("Id"), "whole"))
		}
	})
	pool := NewPool()
	for _, id := range []string{"1", "2", "3"} {
		body, err := exchange(t, pool, server.address, newRequest(id))
		if err != nil || body != "whole" {
			t.Fatalf("answer %q, %v", body, err)
		}
	}
	if got := server.conns.Load(); got != 1 {
		t.Errorf("%d connections were opened, want 1", got)
	}
}

// A backend server sends a late second answer to a request. If answers were matched with
// requests by order, the next caller on the connection would get it.
func TestStrayAnswerIsSkipped(t *testing.T) {
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		io.WriteString(conn, answer("1", "first"))
		readRequest(reader)
		io.WriteString(conn, answer("1", "again")+answer("2", "second"))
		readRequest(reader)
	})
	pool := NewPool()
	if _, err := exchange(t, pool, server.address, newRequest("1")); err != nil {
		t.Fatal(err)
	}
	body, err := exchange(t, pool, server.address, newRequest("2"))
	if err != nil || body != "second" {
		t.Errorf("answer %q, %v, want the second request's", body, err)
	}
}

// Guards against an answer that is given up on because several interim ones precede it.
func TestInterimAnswersAreSkipped(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\n\r\n"
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		io.WriteString(conn, strings.Repeat(interim, 5)+answer("1", "whole"))
		readRequest(reader)
	})
	if body, err := exchange(t, NewPool(), server.address, newRequest("1")); err != nil || body != "whole" {
		t.Errorf("answer %q, %v", body, err)
	}
}

// Bytes arrive on an idle connection. They belong to no request and would be mixed into the
// next answer.
func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		id := readRequest(reader).Header.Get("Id")
		io.WriteString(conn, answer(id, "whole"))
		time.Sleep(50 * time.Millisecond)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		time.Sleep(time.Second)
	})
	pool := NewPool()
	if _, err := exchange(t, pool, server.address, newRequest("1")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(150 * time.Millisecond)
	body, err := exchange(t, pool, server.address, newRequest("2"))
	if err != nil || body != "whole" {
		t.Errorf("answer %q, %v", body, err)
	}
	if got := server.conns.Load(); got != 2 {
		t.Errorf("%d connections, want a new one", got)
	}
}

// The backend server closes an idle connection. A request written to it gets no answer, and
// one that may run only once can't be sent again because it may have arrived before the
// close.
func TestClosedIdleConnectionIsDetected(t *testing.T) {
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		id := readRequest(reader).Header.Get("Id")
		io.WriteString(conn, answer(id, "whole"))
	})
	pool := NewPool()
	for _, id := range []string{"1", "2"} {
		if _, err := exchange(t, pool, server.address, newRequest(id)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestTruncatedAnswerIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"by length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"by chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				io.WriteString(conn, text)
			})
			_, err := exchange(t, NewPool(), server.address, newRequest("1"))
			if err == nil {
				t.Fatal("it was taken for a complete answer")
			}
			if got := ProgressOf(err); got != ProgressAnswered {
				t.Errorf("progress %v, want answered", got)
			}
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
	})
	body, err := exchange(t, NewPool(), server.address, newRequest("1"))
	if err != nil || body != "whole" {
		t.Errorf("answer %q, %v", body, err)
	}
}

// A reset of an answer without a length must not be taken for its end, or a truncated
// answer looks complete.
func TestResetAnswerWithoutLengthIsAnError(t *testing.T) {
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf")
		time.Sleep(50 * time.Millisecond)
		conn.(*net.TCPConn).SetLinger(0)
	})
	if body, err := exchange(t, NewPool(), server.address, newRequest("1")); err == nil {
		t.Errorf("%q was taken for a complete answer", body)
	}
}

func TestRefusedConnectionMeansNothingWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := fleet.Address(listener.Addr().String())
	listener.Close()
	_, err = exchange(t, NewPool(), address, newRequest("1"))
	if got := ProgressOf(err); err == nil || got != ProgressNone {
		t.Errorf("progress %v, %v, want none", got, err)
	}
}

func TestResetAfterTheRequestMeansItMayHaveRun(t *testing.T) {
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) { readRequest(reader) })
	_, err := exchange(t, NewPool(), server.address, newRequest("1"))
	if got := ProgressOf(err); err == nil || got != ProgressSent {
		t.Errorf("progress %v, %v, want sent", got, err)
	}
}

// When the caller disconnects while its request runs, the connection to the backend server
// must close, or the server works for nobody.
func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan error, 1)
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		_, err := io.Copy(io.Discard, reader) // returns when the connection ends
		closed <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := NewPool().Do(ctx, server.address, newRequest("1")); err == nil {
		t.Fatal("there was an answer")
	}
	select {
	case err := <-closed:
		// A plain close would keep delivering the request after a partition, long after its
		// caller has disconnected.
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the connection ended with %v, want a reset", err)
		}
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open")
	}
}

// The backend server answers before it has read the body and reads no further. A router
// that wrote the whole request before reading would wait for the server, and the server for
// the router.
func TestEarlyAnswerToLongRequest(t *testing.T) {
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Second)
	})
	request := newRequest("1")
	request.Body = []byte(strings.Repeat("x", 16<<20))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := NewPool().Do(ctx, server.address, request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	if answer.Status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d", answer.Status)
	}
}

// On a busy processor the goroutine that opens a connection waits for its turn, and the
// caller disconnects meanwhile. If that were checked only before opening, requests would be
// sent seconds after their callers have disconnected.
func TestNothingIsSentAfterTheCallerDisconnects(t *testing.T) {
	received := make(chan int, 1)
	server := serve(t, func(conn net.Conn, _ *bufio.Reader) {
		n, _ := conn.Read(make([]byte, 1))
		received <- n
	})
	request := newRequest("1")
	request.BeforeSend = func() error { return ErrCallerDisconnected }
	pool := NewPool()
	_, err := pool.Do(t.Context(), server.address, request)
	if !errors.Is(err, ErrCallerDisconnected) || ProgressOf(err) != ProgressNone {
		t.Errorf("%v, want ErrCallerDisconnected with ProgressNone", err)
	}
	if n := <-received; n != 0 {
		t.Error("the backend server received data")
	}
	if open := pool.Open(server.address); open != 0 {
		t.Errorf("%d connections are open", open)
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	hold := make(chan struct{})
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		<-hold
	})
	defer close(hold)
	pool := NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := newRequest("1")
	first.MaxConnections = 1
	go func() {
		if answer, err := pool.Do(ctx, server.address, first); err == nil {
			answer.Close()
		}
	}()
	for pool.Open(server.address) == 0 {
		time.Sleep(time.Millisecond)
	}
	second := newRequest("2")
	second.MaxConnections = 1
	if _, err := pool.Do(ctx, server.address, second); ProgressOf(err) != ProgressNone {
		t.Errorf("%v, want an error before anything is sent", err)
	}
}

func TestStatedIdleTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=5":         5 * time.Second,
		"max=3, timeout=12": 12 * time.Second,
		"":                  0,
		"timeout=x":         0,
	} {
		if got := parseKeepAliveTimeout(http.Header{"Keep-Alive": {text}}); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

// A backend server crashes behind a partition and restarts. Its old connections look
// usable, and a request sent on one would be lost.
func TestDroppedConnectionsAreNotReused(t *testing.T) {
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for request := readRequest(reader); request != nil; request = readRequest(reader) {
			io.WriteString(conn, answer(request.Header.Get("Id"), "whole"))
		}
	})
	pool := NewPool()
	for _, id := range []string{"1", "2"} {
		if _, err := exchange(t, pool, server.address, newRequest(id)); err != nil {
			t.Fatal(err)
		}
		pool.DropIdle(server.address)
		if open := pool.Open(server.address); open != 0 {
			t.Errorf("%d connections are open", open)
		}
	}
	if got := server.conns.Load(); got != 2 {
		t.Errorf("%d connections were opened, want 2", got)
	}
}

// Guards against sending a long request whose caller has disconnected while the goroutine
// that writes it waited for the processor.
func TestLongRequestIsNotWrittenAfterTheCallerDisconnects(t *testing.T) {
	received := make(chan int64, 1)
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		n, _ := io.Copy(io.Discard, reader) // ends with the connection
		received <- n
	})
	checks := 0
	request := newRequest("1")
	request.Body = make([]byte, 2*maxSynchronousRequest)
	request.BeforeSend = func() error {
		checks++
		if checks == 1 {
			return nil
		}
		return ErrCallerDisconnected
	}
	pool := NewPool()
	_, err := pool.Do(t.Context(), server.address, request)
	if !errors.Is(err, ErrCallerDisconnected) || ProgressOf(err) != ProgressNone {
		t.Errorf("error %v, progress %v; want that nothing was sent", err, ProgressOf(err))
	}
	if n := <-received; n != 0 {
		t.Errorf("%d bytes are sent", n)
	}
	if open := pool.Open(server.address); open != 0 {
		t.Errorf("%d connections are open", open)
	}
}
