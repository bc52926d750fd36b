package e2e

import (
	"context"
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bluebellchute/bluebellchute/internal/control"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// Symptom: one backend server after the other goes down until the service is
// gone.
// Sequence: the backend server crashes at a call; its router runs it again
// elsewhere, because it is idempotent; the caller repeats it at this router and
// at another.
// Cause: each server meets the call for the first time. Only what the fleet
// remembers of the crashes stops it, after two servers at most.
func TestRequestThatCrashesServers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, shape{routers: 2, agents: 4})
	crashing := call{tokens: shortAnswer, idempotent: true, crash: true}
	first := makeCall(c.routers[0], crashing)
	if first.status != http.StatusUnprocessableEntity {
		t.Errorf("status %d (%v), want 422 after the second crash", first.status, first.err)
	}
	c.awaitConviction(t, c.routers[1])
	for range 3 {
		for _, router := range c.routers {
			if again := makeCall(router, crashing); again.status != http.StatusUnprocessableEntity {
				t.Errorf("status %d (%v) when sent again, want 422", again.status, again.err)
			}
		}
	}
	lost := 0
	for _, b := range c.backends {
		select {
		case <-b.ended:
			lost++
		default:
		}
	}
	if lost != 2 {
		t.Errorf("%d backend servers were lost, want 2", lost)
	}
	harmless := call{tokens: shortAnswer, idempotent: true}
	if err := makeCall(c.routers[0], harmless).whole(harmless); err != nil {
		t.Errorf("another call of the account: %v", err)
	}
}

// awaitConviction waits until a node knows a convicted request.
func (c *cluster) awaitConviction(t *testing.T, n node) {
	t.Helper()
	pool := control.NewPool(token, control.NewMetrics(prometheus.NewRegistry()))
	defer pool.Close()
	asker := &rpc.Envelope{Sender: string(addressOf(newHost(), controlPort))}
	eventually(t, "the other router knows the verdict", func() bool {
		reply, err := pool.Peer(n.control).Sync(context.Background(), &rpc.SyncRequest{Envelope: asker})
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
