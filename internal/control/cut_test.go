package control

import (
	"context"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/testresponse"
)

// Guards against a reply between a router and an agent that is broken off at any byte and taken for a
// shorter message.
func TestReplyCutAtAnyByteIsAnError(t *testing.T) {
	const replyBytes = 1003
	for name, end := range map[string]testresponse.End{"closed": testresponse.Close, "reset": testresponse.Reset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy := testresponse.StartProxy(t, startNode(t).address, end)
			failed := 0
			for limit := range replyBytes + 300 {
				proxy.CutAfter(limit)
				pool := NewPool("secret", NewMetrics(prometheus.NewRegistry()))
				ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
				reply, err := pool.Peer(proxy.Address()).Status(ctx, &rpc.StatusRequest{})
				cancel()
				pool.Close()
				if err != nil {
					failed++
				} else if reply.Vm != strings.Repeat("v", 1000) {
					t.Errorf("after %d bytes: %d bytes of 1000", limit, len(reply.Vm))
				}
			}
			if failed < replyBytes {
				t.Errorf("%d calls failed, want those of %d places", failed, replyBytes)
			}
		})
	}
}
