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

// Symptom: a caller whose router died sends its call again and the work is
// done twice.
// Sequence: a call with a key runs; its router dies; the caller sends the same
// call and key to another router.
// Cause: the second router knows nothing of the first; the key's guards do.
func TestRouterKilledMidAnswer(t *testing.T) {
	t.Parallel()
	c := startCluster(t, shape{routers: 2, agents: 2})
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
	if err := second.whole(keyed); err != nil {
		t.Errorf("the call with the same key: %v", err)
	}
	c.wantOneLongRun(t)
}

// Symptom: a caller whose router died sends its call again and is refused until
// its deadline, over and over, although nobody runs the call.
// Sequence: a call with a key waits for a slot; its router dies; the caller
// sends the same call and key to another router.
// Cause: the guards hold the key for a request that is nowhere any more, and
// only its router would have said where it runs or given the key back.
func TestRouterKilledWhileKeyedCallWaits(t *testing.T) {
	t.Parallel()
	c := startCluster(t, shape{routers: 2, agents: 1, slots: 1})
	c.awaitGuards(t)
	// More calls than the agent takes ahead of its free slots.
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
	if err := second.whole(keyed); err != nil {
		t.Errorf("the call with the same key: %v", err)
	}
	for _, done := range busy {
		if got := <-done; got.status != http.StatusOK {
			t.Errorf("a call of the other router: status %d, %v", got.status, got.err)
		}
	}
}

// Symptom: as above, after one of the key's guards was replaced.
// Sequence: a key is made; a new agent becomes its first guard; a call with the
// key runs; its router dies; the caller sends the same call and key again.
// Cause: the new guard can't tell whether the key is new. It notes the call
// all the same, so it has to be told where the call runs as well.
func TestRouterKilledWhileOneGuardIsYoung(t *testing.T) {
	t.Parallel()
	c := startCluster(t, shape{routers: 2, agents: 1})
	c.awaitGuards(t)
	old := c.agents[0]
	var keys []string
	for range 64 {
		keys = append(keys, newKey())
	}
	c.addAgent(t, nil)
	young := c.agents[1]
	young.awaitReady(t)
	c.awaitAgents(t, c.routers[0])
	c.awaitAgents(t, c.routers[1])
	nodes := []fleet.Node{{Control: old.control}, {Control: young.control}}
	key, found := lo.Find(keys, func(key string) bool {
		return membership.Guards(account, key, nodes)[0].Control == young.control
	})
	if !found {
		t.Fatal("no key has the young agent as its first guard")
	}
	keyed := call{tokens: longAnswer, key: key, deadline: "15"}
	first := startCall(c.routers[0], keyed)
	c.awaitRun(t)
	c.awaitRunKnown(t, old, keyed)
	c.routers[0].kill()
	if got := <-first; got.err == nil {
		t.Errorf("the caller of a killed router sees no error, but status %d", got.status)
	}
	second := makeCall(c.routers[1], keyed)
	if err := second.whole(keyed); err != nil {
		t.Errorf("the call with the same key: %v", err)
	}
	c.wantOneLongRun(t)
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// awaitGuards waits until each agent can tell about new keys. It can't about
// keys that were made when it had just started.
func (c *cluster) awaitGuards(t *testing.T) {
	t.Helper()
	for _, agent := range c.agents {
		eventually(t, "the guard can tell about new keys", func() bool {
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

// claim claims a key at a guard for a request that nobody will send.
func claim(t *testing.T, guard node, key string) (*rpc.ClaimReply, error) {
	t.Helper()
	pool := control.NewPool(token, control.NewMetrics(prometheus.NewRegistry()))
	defer pool.Close()
	id := uuid.Must(uuid.NewV7())
	return pool.Agent(guard.control).Claim(context.Background(), &rpc.ClaimRequest{
		Account: account, Key: key, RequestId: id[:],
	})
}

// wantOneLongRun checks that all backends together ran one call, apart from
// the short ones of the start.
func (c *cluster) wantOneLongRun(t *testing.T) {
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
