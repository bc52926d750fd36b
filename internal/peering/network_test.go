package peering

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/testaddr"
)

// rawRouter answers one call with the bytes and closes the connection. It returns its
// address.
func rawRouter(t *testing.T, answer string) fleet.Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // on failure the call fails too
		_, _ = io.WriteString(conn, answer)
	}()
	return fleet.Address(listener.Addr().String())
}

// Guards against state that is replaced by a part of another router's reply: most parts of a
// protobuf message are valid messages.
func TestReplyThatIsBrokenOffIsNotApplied(t *testing.T) {
	sockets, err := listen(fleet.Address(testaddr.Free(t)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sockets.socket.Close() })
	whole := &peeringpb.PullReply{
		Configuration: []byte(`{"Version":4}`), Version: 4, Revision: 9, ListAge: 5, Era: 2,
		Changes: true, Changed: []byte(`[]`), Removed: []string{"i-1", "i-2"}, Digest: 11,
	}
	encoded, err := proto.Marshal(whole)
	if err != nil {
		t.Fatal(err)
	}
	body := string(encoded)
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n"
	chunk := func(part string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(part), part) }
	for framing, answer := range map[string]struct {
		header string
		encode func(part string) string // of the body, without the mark of its end
		end    string
	}{
		"length": {fmt.Sprintf("Content-Length: %d\r\n", len(body)), func(part string) string { return part }, ""},
		"chunks": {"Transfer-Encoding: chunked\r\n", chunk, "0\r\n\r\n"},
		"close":  {"Connection: close\r\n", func(part string) string { return part }, ""},
	} {
		t.Run(framing, func(t *testing.T) {
			pull := func(sent string) (*peeringpb.PullReply, error) {
				return sockets.Pull(t.Context(), rawRouter(t, head+answer.header+"\r\n"+sent), &peeringpb.PullRequest{})
			}
			accepted := 0
			for length := range len(body) {
				part := ""
				if length > 0 {
					part = answer.encode(body[:length])
				}
				if _, err := pull(part); err == nil {
					accepted++
				}
			}
			if accepted > 0 {
				t.Errorf("%d of %d parts of a reply are accepted", accepted, len(body))
			}
			reply, err := pull(answer.encode(body) + answer.end)
			if framing == "close" {
				if err == nil {
					t.Error("a reply whose end is not marked is accepted")
				}
			} else if err != nil || !proto.Equal(reply, whole) {
				t.Errorf("whole reply: %v, %v", reply, err)
			}
		})
	}
}

// endlessRouter answers one call with the beginning and then the part until the connection is
// closed. It returns its address and, once that has happened, how many bytes it has sent.
func endlessRouter(t *testing.T, beginning, part string) (fleet.Address, <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	sent := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		total := 0
		defer func() { sent <- total }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // on failure the call fails too
		_, err = io.WriteString(conn, beginning)
		for err == nil {
			_, err = io.WriteString(conn, part)
			total += len(part)
		}
	}()
	return fleet.Address(listener.Addr().String()), sent
}

// socketBytes is more than what sockets of a connection hold.
const socketBytes = 16 << 20

// Guards against a reply of another router without end that takes the process over its memory.
func TestReplyWithoutEndIsGivenUp(t *testing.T) {
	sockets, err := listen(fleet.Address(testaddr.Free(t)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sockets.socket.Close() })
	part := strings.Repeat("x", 64<<10)
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n"
	for name, c := range map[string]struct {
		beginning, part string
		most            int
	}{
		"header":  {head + "X-Fill: ", part, maxCallHeaderBytes + socketBytes},
		"chunks":  {head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(part), part), maxReplyBytes + socketBytes},
		"length":  {head + "Content-Length: 9000000000\r\n\r\n", part, maxReplyBytes + socketBytes},
		"failure": {"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(part), part), maxReplyBytes + socketBytes},
	} {
		t.Run(name, func(t *testing.T) {
			router, sent := endlessRouter(t, c.beginning, c.part)
			if _, err := sockets.Pull(t.Context(), router, &peeringpb.PullRequest{}); err == nil {
				t.Error("the call succeeds")
			}
			if got := <-sent; got > c.most {
				t.Errorf("%d bytes were read, want %d at most", got, c.most)
			}
		})
	}
}

// Guards against a request to a router without end, from whoever reaches its port.
func TestRequestWithoutEndIsGivenUp(t *testing.T) {
	address := fleet.Address(testaddr.Free(t))
	sockets, err := listen(address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- sockets.Serve(ctx, Receiver{Knowledge: &server{state: knowledge.NewState()}}) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	conn := dial(t, address)
	_, err = io.WriteString(conn, "POST "+peeringpb.KnowledgePathPrefix+"Pull HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\nContent-Length: 9000000000\r\n\r\n")
	part := strings.Repeat("x", 64<<10)
	for sent := 0; err == nil; sent += len(part) {
		if sent > socketBytes+maxRequestBytes {
			t.Fatalf("%d bytes were read", sent)
		}
		_, err = io.WriteString(conn, part)
	}
}

// dial connects to the address as soon as it is served.
func dial(t *testing.T, address fleet.Address) net.Conn {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", string(address))
		if err == nil {
			t.Cleanup(func() { conn.Close() })
			return conn
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}
