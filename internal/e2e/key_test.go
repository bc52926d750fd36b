package e2e

import (
	"context"
	"net/http"
	"testing"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/control"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// A call with a key must run once when its router dies during the run and the
// caller sends the same call and key to another router. The second router learns
// of the run from the key's guards only.
func TestRouterKilledDuringAnswer(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterConfig{routers: 2, agents: 2})
	c.awaitGuards(t)
	keyed := call{tokens: longAnswer, key: newKey()}
	first := startCall(c.routers[0], keyed)
	c.awaitRun(t)
	for _, guard := range c.agents {
		c.awaitRunKnown(t, guard, keyed)
	}
	c.routers[0].kill()
	if got := <-first; got.err == nil {
		t.Errorf("the caller of a killed router sees no error, but status %d", got.status)
	}
	second := makeCall(c.routers[1], keyed)
	if err := second.checkComplete(keyed); err != nil {
		t.Errorf("the call with the same key: %v", err)
	}
	c.checkOneLongRun(t)
}

// A call with a key must be answered when its router dies while the call waits for
// a slot and the caller sends the same call and key to another router. The guards
// hold the key for a request that no longer exists, since only the first router
// could have reported where it runs or released the key; the second call would be
// refused until its deadline.
func TestRouterKilledWhileKeyedCallWaits(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterConfig{routers: 2, agents: 1, slots: 1})
	c.awaitGuards(t)
	// More calls than the agent accepts in advance of free slots.
	var busy []<-chan answer
	for range 8 {
		busy = append(busy, startCall(c.routers[1], call{tokens: longAnswer / 2}))
	}
	c.awaitRun(t)
	keyed := call{tokens: shortAnswer, key: newKey(), deadline: "15"}
	const keysMetric = `bluebell_agent_table_rows{table="keys"}`
	keysBefore := c.agents[0].metric(t, keysMetric)
	first := startCall(c.routers[0], keyed)
	eventually(t, "the guard holds the key and the call waits", func() bool {
		return c.agents[0].metric(t, keysMetric) > keysBefore &&
			c.routers[0].metric(t, "bluebell_router_waiting_requests") > 0
	})
	c.routers[0].kill()
	if got := <-first; got.err == nil {
		t.Errorf("the caller of a killed router sees no error, but status %d", got.status)
	}
	second := makeCall(c.routers[1], keyed)
	if err := second.checkComplete(keyed); err != nil {
		t.Errorf("the call with the same key: %v", err)
	}
	for _, done := range busy {
		if got := <-done; got.status != http.StatusOK {
			t.Errorf("a call of the other router: status %d, %v", got.status, got.err)
		}
	}
}

// A call with a key must run once, as in TestRouterKilledDuringAnswer, if an agent
// that started after the key was made is the key's first guard. That guard can't
// tell whether the key is new, but records the call, so that it has to learn where
// the call runs as well.
func TestRouterKilledWhileOneGuardIsNew(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterConfig{routers: 2, agents: 1})
	c.awaitGuards(t)
	oldGuard := c.agents[0]
	var keys []string
	for range 64 {
		keys = append(keys, newKey())
	}
	c.addAgent(t, nil)
	newGuard := c.agents[1]
	newGuard.awaitReady(t)
	c.awaitAgents(t, c.routers[0])
	c.awaitAgents(t, c.routers[1])
	nodes := []fleet.Node{{Control: oldGuard.control}, {Control: newGuard.control}}
	key, found := lo.Find(keys, func(key string) bool {
		return membership.Guards(account, key, nodes)[0].Control == newGuard.control
	})
	if !found {
		t.Fatal("no key has the new agent as its first guard")
	}
	keyed := call{tokens: longAnswer, key: key, deadline: "15"}
	first := startCall(c.routers[0], keyed)
	c.awaitRun(t)
	c.awaitRunKnown(t, oldGuard, keyed)
	c.routers[0].kill()
	if got := <-first; got.err == nil {
		t.Errorf("the caller of a killed router sees no error, but status %d", got.status)
	}
	second := makeCall(c.routers[1], keyed)
	if err := second.checkComplete(keyed); err != nil {
		t.Errorf("the call with the same key: %v", err)
	}
	c.checkOneLongRun(t)
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// awaitGuards waits until each agent can tell whether a key is new. It can't for
// keys that were made right after its start or before.
func (c *cluster) awaitGuards(t *testing.T) {
	t.Helper()
	for _, agent := range c.agents {
		eventually(t, "the guard can tell that a key is new", func() bool {
			reply, err := claim(t, agent, newKey())
			return err == nil && reply.Result == rpc.ClaimResult_CLAIM_RESULT_GRANTED
		})
	}
}

// awaitRunKnown waits until a guard of a key in use knows where it runs.
func (c *cluster) awaitRunKnown(t *testing.T, guard node, keyed call) {
	t.Helper()
	eventually(t, "the guard knows where the call runs", func() bool {
		reply, err := claim(t, guard, keyed.key)
		return err == nil && reply.RunningAt != ""
	})
}

// claim claims a key at a guard for a request that is never sent.
func claim(t *testing.T, guard node, key string) (*rpc.ClaimReply, error) {
	t.Helper()
	pool := control.NewPool(token, control.NewMetrics(prometheus.NewRegistry()))
	defer pool.Close()
	id := uuid.Must(uuid.NewV7())
	return pool.Agent(guard.control).Claim(context.Background(), &rpc.ClaimRequest{
		Account: account, Key: key, RequestId: id[:],
	})
}

// checkOneLongRun checks that all backends together ran one call, apart from the
// short ones made while the cluster started.
func (c *cluster) checkOneLongRun(t *testing.T) {
	t.Helper()
	longRuns := 0
	for _, b := range c.backends {
		for _, runs := range b.runs(t) {
			for _, run := range runs {
				if run.Tokens > 1 {
					longRuns++
				}
			}
		}
	}
	if longRuns != 1 {
		t.Errorf("%d runs of one key, want 1", longRuns)
	}
}
