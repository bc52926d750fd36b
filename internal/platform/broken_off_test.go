package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// rawPlatform answers each call with the bytes that reply returns and closes the connection.
func rawPlatform(t *testing.T, reply func() string) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // on failure the call fails too
		_, _ = io.WriteString(conn, reply())
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serve(conn)
		}
	}()
	client := NewClient(fleet.Address(listener.Addr().String()), ClientOptions{})
	t.Cleanup(client.Close)
	return client
}

// framed returns the header of a reply under a framing, and its body with the marks of the
// framing.
func framed(framing, body string) (header, encoded string) {
	header = "HTTP/1.1 200 OK\r\n" + headerVersion + ": 7\r\n"
	switch framing {
	case "length":
		return header + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body
	case "chunks":
		return header + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return header + "\r\n", body
}

// Guards against the record of another node that is overwritten or removed because a reply
// broke off and was taken for a whole one.
func TestReplyThatIsBrokenOffIsNoReply(t *testing.T) {
	for name, read := range map[string]func(client *Client) error{
		"get": func(client *Client) error {
			_, err := client.Get(context.Background(), "k")
			return err
		},
		"list": func(client *Client) error {
			_, _, err := client.List(context.Background(), "k")
			return err
		},
		"watch": func(client *Client) error {
			_, _, err := client.Watch(context.Background(), "k", 1, time.Second)
			return err
		},
	} {
		for _, framing := range []string{"close", "chunks", "length"} {
			t.Run(name+", "+framing, func(t *testing.T) {
				header, body := framed(framing, `{"version":7}`)
				sent := header + body
				client := rawPlatform(t, func() string { return sent })
				if err := read(client); framing != "close" && err != nil {
					t.Fatalf("a whole reply: %v", err)
				}
				for length := range len(body) {
					sent = header + body[:length]
					if err := read(client); !errors.Is(err, ErrUnavailable) {
						t.Errorf("%q: error %v, want one that the platform can't be reached", body[:length], err)
					}
				}
			})
		}
	}
}

// Guards against a write that is told to have failed, or to have been made, although its
// reply broke off.
func TestWriteWhoseReplyIsBrokenOffIsUnknown(t *testing.T) {
	for _, framing := range []string{"close", "chunks", "length"} {
		t.Run(framing, func(t *testing.T) {
			header, body := framed(framing, "")
			sent := header + body
			client := rawPlatform(t, func() string { return sent })
			if version, err := client.Put(context.Background(), "k", nil, 0); err != nil || version != 7 {
				t.Fatalf("a whole reply: version %d, error %v", version, err)
			}
			for length := range len(header) {
				sent = header[:length]
				if _, err := client.Put(context.Background(), "k", nil, 0); !errors.Is(err, ErrOutcomeUnknown) {
					t.Errorf("%q: error %v", sent, err)
				}
			}
		})
	}
}

// Guards against a call that never ends because the platform stops in the middle of a reply.
func TestReplyThatStopsTimesOut(t *testing.T) {
	stopped := make(chan struct{})
	defer close(stopped)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
		<-stopped
	}()
	client := NewClient(fleet.Address(listener.Addr().String()), ClientOptions{CallTimeout: 200 * time.Millisecond})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if _, err := client.Get(ctx, "k"); !errors.Is(err, ErrUnavailable) {
		t.Errorf("error %v, want one that the platform can't be reached", err)
	}
}

// Guards against a new connection for each call.
func TestConnectionIsKeptAfterAReply(t *testing.T) {
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"version":7}`)
		if r.Method == http.MethodGet {
			_ = http.NewResponseController(w).Flush() // in chunks
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := NewClient(fleet.Address(server.Listener.Addr().String()), ClientOptions{})
	defer client.Close()
	for range 3 {
		if _, err := client.Get(t.Context(), "k"); err != nil {
			t.Fatal(err)
		}
		if _, err := client.Put(t.Context(), "k", nil, 0); err != nil {
			t.Fatal(err)
		}
		if err := client.Delete(t.Context(), "none", 1); err != nil {
			t.Fatal(err)
		}
	}
	if count := opened.Load(); count != 1 {
		t.Errorf("%d connections for calls that follow each other", count)
	}
}
