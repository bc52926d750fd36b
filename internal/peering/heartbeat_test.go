package peering

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/testaddr"
)

// Guards against a long heartbeat that is cut where it is received and applied without its last parts.
func TestLongHeartbeatArrivesWhole(t *testing.T) {
	address := fleet.Address(testaddr.Free(t))
	sockets, err := listen(address)
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan []byte, 1)
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		ended <- sockets.Serve(ctx, Receiver{Heartbeat: func(_ context.Context, heartbeat []byte) { received <- bytes.Clone(heartbeat) }})
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	const partBytes = 1024 // of the encoded message
	part := strings.Repeat("r", partBytes-3)
	for parts := 1; parts*partBytes <= maxDatagramBytes; parts++ {
		sent, err := proto.Marshal(&peeringpb.Beat{Routers: slices.Repeat([]string{part}, parts)})
		if err != nil {
			t.Fatal(err)
		}
		sockets.Send(sent, address)
		var got []byte
		select {
		case got = <-received:
		case <-time.After(5 * time.Second):
			t.Fatalf("%d bytes did not arrive", len(sent))
		}
		if !bytes.Equal(got, sent) {
			var heartbeat peeringpb.Beat
			err := proto.Unmarshal(got, &heartbeat)
			t.Errorf("%d of %d bytes arrived, %d of %d parts, %v", len(got), len(sent), len(heartbeat.Routers), parts, err)
		}
	}
}
