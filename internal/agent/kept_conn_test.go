package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// strayBackend is a backend server that sends the stray bytes after each answer, once that has been read.
type strayBackend struct {
	*backend
	stray string
	sent  chan struct{} // gets a word after each answer and its stray bytes
	conns atomic.Int32
}

func newStrayBackend(t *testing.T, stray string) *strayBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &strayBackend{backend: newBackend(fleet.Address(listener.Addr().String())), stray: stray, sent: make(chan struct{}, 100)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn)
		}
	}()
	return s
}

func (s *strayBackend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // on failure the next read fails too
		_, _ = io.WriteString(conn, framedAnswer("length", "text/plain", request.URL.Path, 0))
		if request.URL.Path == healthPath {
			continue
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, s.stray)
		s.sent <- struct{}{}
	}
}

// run runs a request and waits for the stray bytes.
func (s *strayBackend) run(t *testing.T) (RunEnded, string) {
	t.Helper()
	end, body := runAt(t, s.backend, settings.KindPlain)
	select {
	case <-s.sent:
	case <-time.After(5 * time.Second):
		t.Fatalf("end %+v, %q, and the request did not reach the backend server", end, body)
	}
	return end, body
}

// Guards against bytes that follow a complete answer of a backend server and are taken for the answer to
// the next request on that connection.
func TestBytesAfterAnAnswerAreNotTheNextAnswer(t *testing.T) {
	for name, stray := range map[string]string{
		"answer":                framedAnswer("length", "text/plain", "other", 0),
		"answer without length": framedAnswer("close", "text/plain", "other", 0),
		"cut answer":            framedAnswer("length", "text/plain", "other", 5),
		"cut in the head":       framedAnswer("length", "text/plain", "other", 0)[:30],
		"no answer":             "\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			at := newStrayBackend(t, stray)
			for range 4 {
				if end, body := at.run(t); end.End != RunComplete || body != "/v1/completions" {
					t.Errorf("end %+v, %q; want the request's own answer", end, body)
				}
			}
		})
	}
}

// Guards against a new connection for each request.
func TestQuietConnectionIsKept(t *testing.T) {
	const runs = 4
	at := newStrayBackend(t, "")
	for range runs {
		if end, _ := at.run(t); end.End != RunComplete {
			t.Fatalf("end %+v", end)
		}
	}
	if got := at.conns.Load(); got == runs {
		t.Errorf("%d connections for %d requests", got, runs)
	}
}
