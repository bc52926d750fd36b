package e2e

import (
	"context"
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bluebellchute/bluebellchute/internal/control"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// A call that crashes each backend server that runs it must not bring down more
// than two of them, although it is idempotent, so that its router retries it, and
// although the caller repeats it at two routers. Routers have to share the crashes
// that they see.
func TestRequestThatCrashesServers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterConfig{routers: 2, agents: 4})
	crashing := call{tokens: shortAnswer, idempotent: true, crash: true}
	first := makeCall(c.routers[0], crashing)
	if first.status != http.StatusUnprocessableEntity {
		t.Errorf("status %d (%v), want 422 after the second crash", first.status, first.err)
	}
	c.awaitVerdict(t, c.routers[1])
	for range 3 {
		for _, router := range c.routers {
			if again := makeCall(router, crashing); again.status != http.StatusUnprocessableEntity {
				t.Errorf("status %d (%v) when sent again, want 422", again.status, again.err)
			}
		}
	}
	crashed := 0
	for _, b := range c.backends {
		select {
		case <-b.ended:
			crashed++
		default:
		}
	}
	if crashed != 2 {
		t.Errorf("%d backend servers crashed, want 2", crashed)
	}
	harmless := call{tokens: shortAnswer, idempotent: true}
	if err := makeCall(c.routers[0], harmless).checkComplete(harmless); err != nil {
		t.Errorf("another call of the account: %v", err)
	}
}

// awaitVerdict waits until a node has the verdict on a request that crashed two
// servers.
func (c *cluster) awaitVerdict(t *testing.T, n node) {
	t.Helper()
	pool := control.NewPool(token, control.NewMetrics(prometheus.NewRegistry()))
	defer pool.Close()
	sender := &rpc.Envelope{Sender: string(addressOf(newHost(), controlPort))}
	eventually(t, "the other router knows the verdict", func() bool {
		reply, err := pool.Peer(n.control).Sync(context.Background(), &rpc.SyncRequest{Envelope: sender})
		if err != nil {
			return false
		}
		for _, verdict := range reply.Verdicts {
			if verdict.Crashes >= 2 {
				return true
			}
		}
		return false
	})
}
