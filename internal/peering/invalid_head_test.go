package peering

import (
	"fmt"
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/testaddr"
	"github.com/bluebellchute/bluebellchute/internal/testresponse"
)

// pullRaw asks a router for its state that replies with the status line, the fields and the state.
func pullRaw(t *testing.T, statusLine, fields string) error {
	t.Helper()
	sockets, err := listen(fleet.Address(testaddr.Free(t)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sockets.socket.Close() })
	encoded, err := proto.Marshal(&peeringpb.PullReply{Version: 4})
	if err != nil {
		t.Fatal(err)
	}
	address := testresponse.Serve(t, func(*http.Request) (string, testresponse.End) {
		return fmt.Sprintf("%s\r\nContent-Type: application/protobuf\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, fields, len(encoded), encoded), testresponse.Close
	})
	_, err = sockets.Pull(t.Context(), address, &peeringpb.PullRequest{})
	return err
}

// Guards against a reply of another router that is applied although its status is none that the
// protocol has.
func TestReplyWithAnInvalidStatusIsNotApplied(t *testing.T) {
	if err := pullRaw(t, "HTTP/1.1 200 OK", ""); err != nil {
		t.Fatalf("a valid reply: %v", err)
	}
	for _, status := range []string{"000", "001", "099", "-00", "+20", "101", "600", "999"} {
		if pullRaw(t, "HTTP/1.1 "+status+" X", "") == nil {
			t.Errorf("%s is applied", status)
		}
	}
}

// Guards against a reply that is applied although a field name has whitespace.
func TestReplyWithAnInvalidFieldIsNotApplied(t *testing.T) {
	for _, field := range []string{"X Odd: v\r\n", "X-Odd : v\r\n", "Transfer-Encoding : chunked\r\n"} {
		if pullRaw(t, "HTTP/1.1 200 OK", field) == nil {
			t.Errorf("a reply with %q is applied", field)
		}
	}
}
