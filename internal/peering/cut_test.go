package peering

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/testaddr"
	"github.com/bluebellchute/bluebellchute/internal/testresponse"
)

// Guards against a reply of another router that is broken off at any byte and is applied: a protobuf
// message that ends between two fields, or before the first, is a valid one.
func TestReplyCutAtAnyByteIsNotApplied(t *testing.T) {
	const retries = 5 // of a whole reply, whose call may time out on a busy machine
	sockets, err := listen(fleet.Address(testaddr.Free(t)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sockets.socket.Close() })
	want := &peeringpb.PullReply{
		Configuration: []byte(`{"Version":4}`), Version: 4, Revision: 9, ListAge: 5, Era: 2,
		Changes: true, Changed: []byte(`[]`), Removed: []string{"i-1", "i-2"}, Digest: 11,
	}
	encoded, err := proto.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	for _, response := range testresponse.Framed(http.StatusOK, string(encoded), "Content-Type: application/protobuf", "X-A: b") {
		for _, end := range []testresponse.End{testresponse.Close, testresponse.Reset} {
			t.Run(fmt.Sprintf("%s, end %d", response.Name, end), func(t *testing.T) {
				t.Parallel()
				var sent atomic.Pointer[string]
				address := testresponse.Serve(t, func(*http.Request) (string, testresponse.End) { return *sent.Load(), end })
				whole := response.Bytes()
				for length := range len(whole) + 1 {
					part := whole[:length]
					sent.Store(&part)
					complete := response.Marked && length == len(whole)
					reply, err := sockets.Pull(t.Context(), address, &peeringpb.PullRequest{})
					for range retries {
						if complete && err != nil {
							reply, err = sockets.Pull(t.Context(), address, &peeringpb.PullRequest{})
						}
					}
					if complete != (err == nil) || complete && !proto.Equal(reply, want) {
						t.Errorf("%q: %v, %v", part, reply, err)
					}
				}
			})
		}
	}
}
