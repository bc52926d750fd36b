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

// cell is one cell of the fault matrix while it runs.
type cell struct {
	*sim
	hit     *message  // the message that the fault meets
	leaving *simNode  // the agent that the fault makes leave
	left    time.Time // when that began
}

// matrixFault is a row of the fault matrix. strike is called for the first
// message of the step once the fleet is saturated.
type matrixFault struct {
	name   string
	strike func(c *cell, m *message)
	// unknown tells that requests in flight may end with an unknown outcome;
	// without it every request must be completed.
	unknown bool
}

var matrixFaults = []matrixFault{
	{name: "input dropped", strike: func(_ *cell, m *message) { m.dropped = true }},
	{name: "input delayed", strike: func(_ *cell, m *message) { m.delay += 700 * time.Millisecond }},
	{name: "input doubled", strike: func(_ *cell, m *message) { m.doubled = true }},
	{name: "inputs reordered", strike: func(_ *cell, m *message) { m.delay += 3 * hop }},
	{name: "held past a lease", strike: func(_ *cell, m *message) { m.delay += 3 * time.Second }},
	{name: "agent restarted empty", strike: func(c *cell, m *message) { c.crash(c.agentOf(m)) }, unknown: true},
	{name: "router restarted empty", strike: func(c *cell, m *message) { c.crash(c.routerOf(m)) }},
	{name: "agent paused", strike: func(c *cell, m *message) { c.agentOf(m).paused = c.now.Add(3 * time.Second) }},
	{name: "router paused", strike: func(c *cell, m *message) { c.routerOf(m).paused = c.now.Add(3 * time.Second) }},
	{name: "partition and rejoin", strike: func(c *cell, _ *message) {
		half := func(n *simNode) bool { return n == c.agents[0] || n == c.routers[0] }
		c.partition(func(a, b *simNode) bool { return half(a) != half(b) }, 5*time.Second)
	}},
	{name: "agent cut off and back", strike: func(c *cell, m *message) {
		n := c.agentOf(m)
		c.partition(func(a, b *simNode) bool { return a == n || b == n }, 5*time.Second)
	}},
	{name: "flood", strike: func(c *cell, _ *message) {
		for i := range 300 {
			c.ask(c.routers[i%2], "acme/lab/bob", func(request *router.Request) { request.Deadline = c.now.Add(time.Minute) })
		}
	}},
	{name: "store down", strike: func(c *cell, m *message) {
		// What a store that is cut off still shows is old: here, from a time
		// when the accounts were disabled.
		old, err := settings.ParseINI([]byte("[acme]\ndisabled = true\n[acme/lab/ann]\n[acme/lab/bob]\n"))
		if err != nil {
			c.t.Fatal(err)
		}
		c.stepRouter(c.routerOf(m), router.SettingsChanged{View: settings.NewView(old)})
	}},
	{name: "silent connection", strike: func(c *cell, m *message) {
		for _, conn := range c.conns {
			conn.silent = true
		}
		m.dropped = true
	}},
	{name: "agent leaving", strike: func(c *cell, m *message) {
		n := c.leaves(m)
		c.after(0, func() { c.stepAgent(n, agent.Stopping{}) })
	}},
	{name: "listed as leaving", strike: func(c *cell, m *message) {
		n := c.leaves(m)
		view := membership.View{Version: 2}
		for _, node := range c.members.Nodes {
			if node.Control == n.node.Control {
				node.State = fleet.VMLeaving
			}
			view.Nodes = append(view.Nodes, node)
		}
		for _, r := range c.routers {
			c.after(0, func() { c.stepRouter(r, router.MembersChanged{View: view}) })
		}
	}},
	{name: "crossed answers", strike: func(c *cell, m *message) {
		for _, conn := range c.conns {
			if !conn.closed {
				conn.crossed = true
			}
		}
		m.crossed = true
	}},
}

// leaves notes that the agent that a message concerns leaves.
func (c *cell) leaves(m *message) *simNode {
	c.leaving, c.left = c.agentOf(m), c.now
	return c.leaving
}

// mostLeaving is the time after which a leaving agent must get no new work.
const mostLeaving = 2 * time.Second

// checkLeaving checks that a leaving agent gets no new work. A router that had
// nothing to do with it may learn of it by one refusal.
func (c *cell) checkLeaving() {
	c.t.Helper()
	if c.leaving == nil {
		return
	}
	late := 0
	for _, at := range c.leaving.sentTo {
		if at.After(c.left.Add(mostLeaving)) {
			late++
		}
	}
	if late > len(c.routers) {
		c.t.Error(fmt.Sprintf("a leaving agent was sent %d requests", late))
	}
}

// agentOf is the agent that a message concerns.
func (c *cell) agentOf(m *message) *simNode {
	for _, n := range []*simNode{m.to, m.from} {
		if n.node.Role == fleet.RoleAgent {
			return n
		}
	}
	return c.agents[0]
}

// routerOf is the router that a message concerns.
func (c *cell) routerOf(m *message) *simNode {
	if m.to.node.Role == fleet.RoleRouter {
		return m.to
	}
	return m.from
}

// TestMatrix walks the fault matrix over the decision cores of two routers and
// two agents with two slots each, whose requests may not run twice. Each cell
// lets one fault strike at one step. Afterwards nothing may have run twice, no
// request that ran may be called not run, and every request must have its
// whole answer, unless the only process that knew of it is gone.
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
				c.strikeAt(step, fault.strike)
				c.refill()
				c.settle()
				if c.hit == nil {
					t.Fatal("no message of the step met the fault")
				}
				c.checkAll()
				c.checkCompleted(fault.unknown)
				c.checkLeaving()
			})
		}
	}
}

// Symptom: a call with an Idempotency-Key runs twice.
// Sequence: each of two routers is cut off from another guard of the key, and
// the caller sends the call to both.
// Cause: each guard sees the key for the first time.
func TestKeyNeedsAllItsGuards(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(t, 2, 2, seed)
		s.partition(func(a, b *simNode) bool {
			return a == s.routers[0] && b == s.agents[1] || a == s.agents[1] && b == s.routers[0] ||
				a == s.routers[1] && b == s.agents[0] || a == s.agents[0] && b == s.routers[1]
		}, time.Minute)
		key, runs := s.newID().String(), 0
		for _, n := range s.routers {
			s.ask(n, "acme/lab/ann", func(request *router.Request) { request.Key = key })
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

// saturate lets more requests wait than the slots take.
func (c *cell) saturate() {
	for i := range 10 {
		c.askLong(i)
	}
	c.run(30 * time.Millisecond)
}

// refill brings requests while the fault acts.
func (c *cell) refill() {
	for i := range 16 {
		c.askLong(i)
		c.run(200 * time.Millisecond)
	}
}

func (c *cell) askLong(i int) {
	account := []fleet.Account{"acme/lab/ann", "acme/lab/bob"}[i/2%2]
	c.ask(c.routers[i%2], account, func(request *router.Request) {
		request.Stream = i%3 == 0
		request.Deadline = c.now.Add(time.Minute)
	})
}

// strikeAt lets the fault strike the next message of the step. While a request
// waits there is no message: the fault then strikes between two.
func (c *cell) strikeAt(step fleet.Step, strike func(*cell, *message)) {
	if step == fleet.StepWait {
		c.hit = &message{step: step, from: c.agents[0], to: c.routers[0]}
		strike(c, c.hit)
		return
	}
	c.fault = func(m *message) {
		if c.hit == nil && m.step == step {
			c.hit = m
			strike(c, m)
		}
	}
}

func (c *cell) checkCompleted(unknownAllowed bool) {
	c.t.Helper()
	completed := 0
	for _, call := range c.calls {
		if len(call.finishes) != 1 {
			continue // its router is gone
		}
		result := call.finishes[0]
		if result.Outcome == fleet.OutcomeCompleted {
			completed++
			continue
		}
		if result.Outcome != fleet.OutcomeUnknown || !unknownAllowed {
			c.t.Error(fmt.Sprintf("%s ended with %+v", call.request.ID, result))
		}
	}
	if completed < 6 {
		c.t.Error(fmt.Sprintf("only %d of %d requests were completed", completed, len(c.calls)))
	}
}
