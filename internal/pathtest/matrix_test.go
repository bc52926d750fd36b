package pathtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/agent"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/router"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// cell runs one cell of the fault matrix.
type cell struct {
	*sim
	target       *message  // the message that the fault is injected into
	leaving      *simNode  // the agent that the fault takes out of service
	leavingSince time.Time // zero if no agent leaves
}

// matrixFault is a row of the fault matrix.
type matrixFault struct {
	name string
	// inject is called with the first message of the step after the fleet has
	// been saturated.
	inject func(c *cell, m *message)
	// allowsUnknown permits requests in flight to end with an unknown outcome.
	// If it is false, every request must complete.
	allowsUnknown bool
}

var matrixFaults = []matrixFault{
	{name: "input dropped", inject: func(_ *cell, m *message) { m.dropped = true }},
	{name: "input delayed", inject: func(_ *cell, m *message) { m.delay += 700 * time.Millisecond }},
	{name: "input doubled", inject: func(_ *cell, m *message) { m.duplicated = true }},
	{name: "inputs reordered", inject: func(_ *cell, m *message) { m.delay += 3 * hop }},
	{name: "held past a lease", inject: func(_ *cell, m *message) { m.delay += 3 * time.Second }},
	{name: "agent restarted empty", inject: func(c *cell, m *message) { c.crash(c.agentOf(m)) }, allowsUnknown: true},
	{name: "router restarted empty", inject: func(c *cell, m *message) { c.crash(c.routerOf(m)) }},
	{name: "agent paused", inject: func(c *cell, m *message) { c.agentOf(m).pausedUntil = c.now.Add(3 * time.Second) }},
	{name: "router paused", inject: func(c *cell, m *message) { c.routerOf(m).pausedUntil = c.now.Add(3 * time.Second) }},
	{name: "partition and rejoin", inject: func(c *cell, _ *message) {
		inHalf := func(n *simNode) bool { return n == c.agents[0] || n == c.routers[0] }
		c.partition(func(a, b *simNode) bool { return inHalf(a) != inHalf(b) }, 5*time.Second)
	}},
	{name: "agent cut off and back", inject: func(c *cell, m *message) {
		n := c.agentOf(m)
		c.partition(func(a, b *simNode) bool { return a == n || b == n }, 5*time.Second)
	}},
	{name: "flood", inject: func(c *cell, _ *message) {
		for i := range 300 {
			c.submit(c.routers[i%2], "acme/lab/bob", func(request *router.Request) { request.Deadline = c.now.Add(time.Minute) })
		}
	}},
	{name: "store down", inject: func(c *cell, m *message) {
		// A store that is cut off serves an outdated tree: here, one in which
		// the accounts are disabled.
		old, err := settings.ParseINI([]byte("[acme]\ndisabled = true\n[acme/lab/ann]\n[acme/lab/bob]\n"))
		if err != nil {
			c.t.Fatal(err)
		}
		c.stepRouter(c.routerOf(m), router.SettingsChanged{View: settings.NewView(old)})
	}},
	{name: "silent connection", inject: func(c *cell, m *message) {
		for _, conn := range c.conns {
			conn.silent = true
		}
		m.dropped = true
	}},
	{name: "agent leaving", inject: func(c *cell, m *message) {
		n := c.markLeaving(m)
		c.scheduleAfter(0, func() { c.stepAgent(n, agent.Stopping{}) })
	}},
	{name: "listed as leaving", inject: func(c *cell, m *message) {
		n := c.markLeaving(m)
		view := membership.View{Version: 2}
		for _, node := range c.members.Nodes {
			if node.Control == n.node.Control {
				node.State = fleet.VMLeaving
			}
			view.Nodes = append(view.Nodes, node)
		}
		for _, r := range c.routers {
			c.scheduleAfter(0, func() { c.stepRouter(r, router.MembersChanged{View: view}) })
		}
	}},
	{name: "crossed answers", inject: func(c *cell, m *message) {
		for _, conn := range c.conns {
			if !conn.closed {
				conn.crossed = true
			}
		}
		m.crossed = true
	}},
}

// markLeaving records that the agent of a message is leaving, and returns it.
func (c *cell) markLeaving(m *message) *simNode {
	c.leaving, c.leavingSince = c.agentOf(m), c.now
	return c.leaving
}

// maxLeavingDelay is the time after which a leaving agent must receive no new
// requests.
const maxLeavingDelay = 2 * time.Second

// checkLeaving checks that a leaving agent receives no new requests. Each router
// may send it one, and learns from the refusal that the agent is leaving.
func (c *cell) checkLeaving() {
	c.t.Helper()
	if c.leaving == nil {
		return
	}
	sentLate := 0
	for _, at := range c.leaving.dispatchTimes {
		if at.After(c.leavingSince.Add(maxLeavingDelay)) {
			sentLate++
		}
	}
	if sentLate > len(c.routers) {
		c.t.Error(fmt.Sprintf("a leaving agent was sent %d requests", sentLate))
	}
}

// agentOf returns the agent at either end of a message, or the first agent.
func (c *cell) agentOf(m *message) *simNode {
	for _, n := range []*simNode{m.to, m.from} {
		if n.node.Role == fleet.RoleAgent {
			return n
		}
	}
	return c.agents[0]
}

// routerOf returns the router at either end of a message.
func (c *cell) routerOf(m *message) *simNode {
	if m.to.node.Role == fleet.RoleRouter {
		return m.to
	}
	return m.from
}

// TestMatrix injects each fault at each step into the decision cores of two
// routers and two agents with two slots each. The requests are not idempotent.
// Afterwards none may have run twice, none that ran may be reported as not run,
// and each must have its complete answer unless the only process that knew of it
// was restarted.
func TestMatrix(t *testing.T) {
	steps := []fleet.Step{
		fleet.StepAccept, fleet.StepWait, fleet.StepOffer, fleet.StepGrant,
		fleet.StepSend, fleet.StepAnswer, fleet.StepAcknowledge,
	}
	for _, step := range steps {
		for _, fault := range matrixFaults {
			t.Run(fmt.Sprintf("%s/%s", step, fault.name), func(t *testing.T) {
				c := &cell{sim: newSim(t, 2, 2, 1)}
				c.saturate()
				c.injectAt(step, fault.inject)
				c.keepLoaded()
				c.settle()
				if c.target == nil {
					t.Fatal("the step had no message to inject the fault into")
				}
				c.checkAll()
				c.checkCompleted(fault.allowsUnknown)
				c.checkLeaving()
			})
		}
	}
}

// A request with an Idempotency-Key must not run twice when it is sent to two
// routers, each of which is cut off from a different guard of the key. Each
// guard then sees the key for the first time.
func TestKeyNeedsAllGuards(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(t, 2, 2, seed)
		s.partition(func(a, b *simNode) bool {
			return a == s.routers[0] && b == s.agents[1] || a == s.agents[1] && b == s.routers[0] ||
				a == s.routers[1] && b == s.agents[0] || a == s.agents[0] && b == s.routers[1]
		}, time.Minute)
		key, runs := s.newID().String(), 0
		for _, n := range s.routers {
			s.submit(n, "acme/lab/ann", func(request *router.Request) { request.Key = key })
		}
		s.settle()
		s.checkAll()
		for _, call := range s.calls {
			runs += s.runs[call.request.ID]
		}
		if runs > 1 {
			t.Errorf("seed %d: %d runs", seed, runs)
		}
	}
}

// saturate submits more requests than there are slots.
func (c *cell) saturate() {
	for i := range 10 {
		c.submitLong(i)
	}
	c.run(30 * time.Millisecond)
}

// keepLoaded submits requests during the fault.
func (c *cell) keepLoaded() {
	for i := range 16 {
		c.submitLong(i)
		c.run(200 * time.Millisecond)
	}
}

func (c *cell) submitLong(i int) {
	account := []fleet.Account{"acme/lab/ann", "acme/lab/bob"}[i/2%2]
	c.submit(c.routers[i%2], account, func(request *router.Request) {
		request.Stream = i%3 == 0
		request.Deadline = c.now.Add(time.Minute)
	})
}

// injectAt injects the fault into the next message of the step. A waiting request
// exchanges no message: for StepWait the fault is injected immediately.
func (c *cell) injectAt(step fleet.Step, inject func(*cell, *message)) {
	if step == fleet.StepWait {
		c.target = &message{step: step, from: c.agents[0], to: c.routers[0]}
		inject(c, c.target)
		return
	}
	c.fault = func(m *message) {
		if c.target == nil && m.step == step {
			c.target = m
			inject(c, m)
		}
	}
}

func (c *cell) checkCompleted(unknownAllowed bool) {
	c.t.Helper()
	completed := 0
	for _, call := range c.calls {
		if len(call.results) != 1 {
			continue // its router was restarted
		}
		result := call.results[0]
		if result.Outcome == fleet.OutcomeCompleted {
			completed++
			continue
		}
		if result.Outcome != fleet.OutcomeUnknown || !unknownAllowed {
			c.t.Error(fmt.Sprintf("%s ended with %+v", call.request.ID, result))
		}
	}
	if completed < 6 {
		c.t.Error(fmt.Sprintf("only %d of %d requests completed", completed, len(c.calls)))
	}
}
