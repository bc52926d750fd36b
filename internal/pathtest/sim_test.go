package pathtest

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/agent"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/router"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

const (
	simService fleet.Service = "lm"
	hop                      = time.Millisecond // one way between two nodes
	heartbeat                = 400 * time.Millisecond
	rpcTimeout               = time.Second
	horizon                  = 3 * time.Minute // after which every request must have ended
)

// sim joins the decision cores of routers and agents by a network in the test,
// on a clock of its own.
type sim struct {
	t       failer
	now     time.Time
	events  events
	order   uint64
	random  *rand.Rand
	view    settings.View
	members membership.View
	routers []*simNode
	agents  []*simNode
	calls   []*simCall
	conns   []*simConn
	runs    map[fleet.RequestID]int
	cut     func(a, b *simNode) bool // partition
	fault   func(*message)           // may change a message before it is sent
	carried int                      // frames with grants that arrived
	ids     uint64
	keys    []string
}

// failer is what testing.T and rapid.T have in common.
type failer interface {
	Helper()
	Fatal(args ...any)
	Error(args ...any)
}

// simNode is a router or an agent.
type simNode struct {
	node   fleet.Node
	epoch  uint64 // incarnation
	paused time.Time
	wake   uint64
	router *router.World
	agent  *agent.World
	held   map[fleet.RequestID]*simAnswer
	asks   map[agent.Ticket]func(agent.Answer)
	ticket agent.Ticket
	sentTo []time.Time // when routers sent it requests
	leaves bool        // it says that it takes no new work
}

// simCall is a caller's request.
type simCall struct {
	request  *router.Request
	router   *simNode
	epoch    uint64
	finishes []router.Result
	body     string // handed out
	sink     *simSink
	arrived  bool // at the router
}

// simSink takes a streamed answer.
type simSink struct{ body strings.Builder }

func (s *simSink) Data(data []byte) error { s.body.Write(data); return nil }

// event is something that happens at a time.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

// message is one message between two nodes.
type message struct {
	step     fleet.Step
	from, to *simNode
	conn     *simConn // nil for a control message
	delay    time.Duration
	dropped  bool
	doubled  bool
	crossed  bool // carries the id of another request
	deliver  func(*message)
}

const simTree = `
[services/lm]
kind = model
slots = 2
[acme/lab/ann]
weight = 1
[acme/lab/bob]
weight = 1
`

func newSim(t failer, routers, agents int, seed uint64) *sim {
	tree, err := settings.ParseINI([]byte(simTree))
	if err != nil {
		t.Fatal(err)
	}
	s := &sim{
		t: t, now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(seed, 1)),
		view:   settings.NewView(tree.WithRevision(1)),
		runs:   make(map[fleet.RequestID]int),
		cut:    func(a, b *simNode) bool { return false },
		fault:  func(*message) {},
	}
	for i := range routers {
		s.routers = append(s.routers, s.add(fleet.RoleRouter, i))
	}
	for i := range agents {
		s.agents = append(s.agents, s.add(fleet.RoleAgent, i))
	}
	s.members.Version = 1
	for _, n := range s.nodes() {
		s.restart(n)
	}
	// Agents take ids without a grant only once they are older than the ids.
	s.run(2*agent.MaxClockSkew + time.Second)
	return s
}

func (s *sim) nodes() []*simNode { return append(append([]*simNode(nil), s.routers...), s.agents...) }

func (s *sim) add(role fleet.Role, i int) *simNode {
	name := fmt.Sprintf("%s-%d", role, i)
	node := fleet.Node{
		VM: name, Role: role, Zone: fleet.Zone('a' + rune(i%2)), State: fleet.VMLive,
		Control: fleet.Address(name + ":1"), Data: fleet.Address(name + ":2"),
	}
	if role == fleet.RoleAgent {
		node.Service = simService
	}
	s.members.Nodes = append(s.members.Nodes, node)
	return &simNode{node: node}
}

// restart begins a node anew with empty state.
func (s *sim) restart(n *simNode) {
	n.epoch = uint64(s.now.UnixNano()) + 1
	n.wake++
	if n.node.Role == fleet.RoleRouter {
		n.router = router.NewWorld(n.node, router.Limits{}, rand.New(rand.NewPCG(s.random.Uint64(), 2)))
		s.stepRouter(n, router.SettingsChanged{View: s.view}, router.MembersChanged{View: s.members})
		return
	}
	identity := agent.Identity{Control: n.node.Control, Data: n.node.Data, Service: simService, Incarnation: n.epoch}
	n.agent = agent.NewWorld(identity, agentLimits, s.now)
	n.held = make(map[fleet.RequestID]*simAnswer)
	n.asks = make(map[agent.Ticket]func(agent.Answer))
	s.stepAgent(n)
	s.stepAgent(n, agent.Settings{View: s.view}, agent.Members{View: s.members}, agent.Health{Up: true})
}

var agentLimits = agent.Limits{
	MaxHeldBytes: 1 << 20, MaxHeldAnswers: 1000, MaxEnded: 10000, MaxKeys: 100, EndedLife: time.Hour, MaxAhead: 2,
}

// crash ends a node's process and begins a new one with empty state. Its
// connections are reset.
func (s *sim) crash(n *simNode) {
	n.paused = time.Time{}
	s.restart(n)
	for _, conn := range s.conns {
		if conn.agent == n && conn.agentE != n.epoch && !conn.closed && conn.router.epoch == conn.routerE {
			s.after(hop, func() {
				s.whenAwake(conn.router, func() {
					if !conn.closed && conn.router.epoch == conn.routerE && !s.apart(conn.agent, conn.router) {
						s.breakConn(conn, router.AnswerBroken{})
					}
				})
			})
		}
	}
}

// partition cuts the network for a time.
func (s *sim) partition(cut func(a, b *simNode) bool, span time.Duration) {
	s.cut = cut
	s.after(span, func() { s.cut = func(a, b *simNode) bool { return false } })
}

// apart tells whether the network is cut between two nodes.
func (s *sim) apart(a, b *simNode) bool { return a != b && s.cut(a, b) }

// at plans something.
func (s *sim) at(when time.Time, run func()) {
	s.order++
	heap.Push(&s.events, event{at: when, order: s.order, run: run})
}

func (s *sim) after(wait time.Duration, run func()) { s.at(s.now.Add(wait), run) }

// run lets time pass.
func (s *sim) run(span time.Duration) {
	end := s.now.Add(span)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// settle runs until every call has its final result.
func (s *sim) settle() {
	s.run(10 * time.Second) // longer than the longest delay on the way in
	for end := s.now.Add(horizon); s.now.Before(end) && s.pending() > 0; {
		s.run(100 * time.Millisecond)
	}
	s.run(time.Second)
}

func (s *sim) pending() int {
	count := 0
	for _, call := range s.calls {
		if len(call.finishes) == 0 && call.arrived && call.epoch == call.router.epoch {
			count++
		}
	}
	return count
}

// whenAwake runs something at a node, after its pause if it is paused. It does
// nothing when the node has restarted meanwhile.
func (s *sim) whenAwake(n *simNode, run func()) {
	if s.now.Before(n.paused) {
		epoch := n.epoch
		s.at(n.paused, func() {
			if n.epoch == epoch {
				s.whenAwake(n, run)
			}
		})
		return
	}
	run()
}

// send puts a message on its way.
func (s *sim) send(m message) {
	m.delay = hop
	s.fault(&m)
	if m.dropped || s.apart(m.from, m.to) {
		if m.conn != nil {
			m.conn.silent = true // TCP carries nothing past a gap
		}
		return
	}
	times := 1
	if m.doubled {
		times = 2
	}
	for range times {
		s.after(m.delay, func() {
			if s.apart(m.from, m.to) {
				if m.conn != nil {
					m.conn.silent = true
				}
				return
			}
			s.whenAwake(m.to, func() { m.deliver(&m) })
		})
	}
}

// rpc is a control call. serve runs at the other node and replies with what
// then runs at the caller; failed runs there when no reply came in time.
func (s *sim) rpc(step fleet.Step, from, to *simNode, serve func(reply func(func())), failed func()) {
	done, epoch := false, from.epoch
	finish := func(run func()) {
		if !done && from.epoch == epoch {
			done = true
			run()
		}
	}
	s.send(message{step: step, from: from, to: to, deliver: func(*message) {
		serve(func(then func()) {
			s.send(message{step: step, from: to, to: from, deliver: func(*message) { finish(then) }})
		})
	}})
	s.after(rpcTimeout, func() { s.whenAwake(from, func() { finish(failed) }) })
}

// newID makes a UUIDv7 of the simulated time.
func (s *sim) newID() fleet.RequestID {
	s.ids++
	var id fleet.RequestID
	binary.BigEndian.PutUint64(id[:8], uint64(s.now.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], s.ids)
	id[6] = 0x70
	id[8] = 0x80 | id[8]&0x3f
	return id
}

// ask brings a caller's request to a router.
func (s *sim) ask(n *simNode, account fleet.Account, change func(*router.Request)) *simCall {
	id := s.newID()
	request := &router.Request{
		ID: id, Account: account, Service: simService, Arrived: s.now,
		Deadline: s.now.Add(30 * time.Second), Payload: []byte("payload"),
	}
	call := &simCall{request: request, router: n, epoch: n.epoch}
	if change != nil {
		change(request)
	}
	var sink router.Sink
	if request.Stream {
		call.sink = &simSink{}
		sink = call.sink
	}
	request.Answer = router.NewReceiver(id, sink, 0)
	s.calls = append(s.calls, call)
	s.send(message{step: fleet.StepAccept, from: n, to: n, deliver: func(*message) {
		if call.epoch == n.epoch {
			call.arrived = true
			s.stepRouter(n, router.Arrived{Request: request})
		}
	}})
	return call
}

// madeFor is the answer that the backend server makes for a request.
func madeFor(id fleet.RequestID) string { return strings.Repeat("answer of "+id.String()+"\n", 5) }

// check holds a call against what must always be true.
func (s *sim) check(call *simCall) error {
	id := call.request.ID
	if !call.request.Idempotent && s.runs[id] > 1 {
		return fmt.Errorf("%s ran %d times", id, s.runs[id])
	}
	if !call.arrived && s.runs[id] == 0 {
		return nil // lost on the way from the caller
	}
	if call.epoch != call.router.epoch && len(call.finishes) == 0 {
		return nil // its router is gone, the caller's connection with it
	}
	if len(call.finishes) != 1 {
		return fmt.Errorf("%s got %d final results: %+v", id, len(call.finishes), call.finishes)
	}
	result := call.finishes[0]
	switch {
	case result.Outcome == fleet.OutcomeNotRun && s.runs[id] > 0:
		return fmt.Errorf("%s ran and was called not run: %+v", id, result)
	case result.Outcome == fleet.OutcomeNotRun && result.RetryAfter <= 0 && result.Status != 422:
		return fmt.Errorf("%s was refused without a time to come back", id)
	case result.Outcome == fleet.OutcomeCompleted && call.body != madeFor(call.request.Answer.ID()):
		return fmt.Errorf("%s got %q", id, call.body)
	}
	return nil
}

// checkAll fails the test when a call breaks a rule.
func (s *sim) checkAll() {
	s.t.Helper()
	for _, call := range s.calls {
		if err := s.check(call); err != nil {
			s.t.Error(err)
		}
	}
}
