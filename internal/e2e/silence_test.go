package e2e

import (
	"context"
	"strings"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/testrelay"
)

// A stream must continue without a gap or repetition when its connection falls
// silent without being closed while new connections work, as when a middlebox
// drops its state. Only the missing progress shows this; the stream has to be
// resumed at its offset on a new connection.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		setUp func(t *testing.T) (*cluster, *testrelay.Relay)
	}{
		{"between agent and engine", relayBeforeEngine},
		{"between router and agent", relayBeforeAgent},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, r := test.setUp(t)
			streamed := call{tokens: longAnswer, stream: true}
			done := startCall(c.routers[0], streamed)
			c.awaitRun(t)
			r.Blackhole()
			if err := (<-done).checkComplete(streamed); err != nil {
				t.Error(err)
			}
			if r.DroppedBytes() == 0 {
				t.Error("the answer did not go through the relay")
			}
		})
	}
}

// startRelay starts a relay to target on a new loopback address.
func startRelay(t *testing.T, target fleet.Address) *testrelay.Relay {
	t.Helper()
	return testrelay.Start(t, testrelay.Config{Listen: addressOf(newHost(), dataPort), Target: target})
}

func relayBeforeEngine(t *testing.T) (*cluster, *testrelay.Relay) {
	var r *testrelay.Relay
	c := startCluster(t, clusterConfig{routers: 1, agents: 1, interpose: func(engine fleet.Address) fleet.Address {
		r = startRelay(t, engine)
		return r.Address()
	}})
	return c, r
}

// relayBeforeAgent replaces the agent's data address by the relay's address in
// the list of nodes.
func relayBeforeAgent(t *testing.T) (*cluster, *testrelay.Relay) {
	c := startCluster(t, clusterConfig{routers: 1, agents: 1})
	agent := c.agents[0]
	r := startRelay(t, agent.data)
	ctx := context.Background()
	key := membership.Key(agent.control)
	object, err := c.platform.Get(ctx, key)
	if err != nil {
		t.Fatal(err)
	}
	moved := strings.Replace(string(object.Data), string(agent.data), string(r.Address()), 1)
	if _, err := c.platform.Put(ctx, key, []byte(moved), object.Version); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the router goes through the relay", func() bool {
		makeCall(c.routers[0], call{tokens: 1})
		return r.Connections() > 0
	})
	return c, r
}
