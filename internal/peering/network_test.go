package peering

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
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
