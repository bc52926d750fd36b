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
	hop                      = time.Millisecond // one-way delay between two nodes
	heartbeat                = 400 * time.Millisecond
	rpcTimeout               = time.Second
	horizon                  = 3 * time.Minute // by which every request must have ended
)

// sim connects the decision cores of routers and agents by a simulated network,
// in simulated time.
type sim struct {
	t           failer
	now         time.Time
	events      events
	order       uint64
	random      *rand.Rand
	view        settings.View
	members     membership.View
	routers     []*simNode
	agents      []*simNode
	calls       []*simCall
	conns       []*simConn
	runs        map[fleet.RequestID]int
	isCut       func(a, b *simNode) bool // the current partition
	fault       func(*message)           // may modify a message before it is sent
	grantFrames int                      // number of frames with grants that arrived
	ids         uint64
	keys        []string
}

// failer is the part of testing.T that rapid.T has too.
type failer interface {
	Helper()
	Fatal(args ...any)
	Error(args ...any)
}

// simNode is a router or an agent.
type simNode struct {
	node           fleet.Node
	epoch          uint64 // incarnation
	pausedUntil    time.Time
	wakeNumber     uint64
	router         *router.World
	agent          *agent.World
	heldAnswers    map[fleet.RequestID]*simAnswer
	pendingReplies map[agent.Ticket]func(agent.Answer)
	ticket         agent.Ticket
	dispatchTimes  []time.Time // when routers dispatched requests to it
	leaving        bool        // it reports that it accepts no new requests
}

// simCall is a caller's request.
type simCall struct {
	request *router.Request
	router  *simNode
	epoch   uint64
	results []router.Result
	body    string // as delivered to the caller
	sink    *simSink
	arrived bool // whether the request reached the router
}

// simSink collects a streamed answer.
type simSink struct{ body strings.Builder }

func (s *simSink) Data(data []byte) error { s.body.Write(data); return nil }

// event is a function scheduled for a time.
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
	step       fleet.Step
	from, to   *simNode
	conn       *simConn // nil for a control message
	delay      time.Duration
	dropped    bool
	duplicated bool
	crossed    bool // carries the id of another request
	deliver    func(*message)
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
		isCut:  func(a, b *simNode) bool { return false },
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
	// Agents accept an id without a grant only if they started before it was made.
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

// restart starts a new incarnation of a node with empty state.
func (s *sim) restart(n *simNode) {
	n.epoch = uint64(s.now.UnixNano()) + 1
	n.wakeNumber++
	if n.node.Role == fleet.RoleRouter {
		n.router = router.NewWorld(n.node, router.Limits{}, rand.New(rand.NewPCG(s.random.Uint64(), 2)))
		s.stepRouter(n, router.SettingsChanged{View: s.view}, router.MembersChanged{View: s.members})
		return
	}
	identity := agent.Identity{Control: n.node.Control, Data: n.node.Data, Service: simService, Incarnation: n.epoch}
	n.agent = agent.NewWorld(identity, agentLimits, s.now)
	n.heldAnswers = make(map[fleet.RequestID]*simAnswer)
	n.pendingReplies = make(map[agent.Ticket]func(agent.Answer))
	s.stepAgent(n)
	s.stepAgent(n, agent.Settings{View: s.view}, agent.Members{View: s.members}, agent.Health{Up: true})
}

var agentLimits = agent.Limits{
	MaxHeldBytes: 1 << 20, MaxHeldAnswers: 1000, MaxEnded: 10000, MaxKeys: 100, EndedLife: time.Hour, MaxAhead: 2,
}

// crash replaces a node's process by a new one with empty state. Its connections
// are reset.
func (s *sim) crash(n *simNode) {
	n.pausedUntil = time.Time{}
	s.restart(n)
	for _, conn := range s.conns {
		if conn.agent == n && conn.agentEpoch != n.epoch && !conn.closed && conn.router.epoch == conn.routerEpoch {
			s.scheduleAfter(hop, func() {
				s.whenAwake(conn.router, func() {
					if !conn.closed && conn.router.epoch == conn.routerEpoch && !s.partitioned(conn.agent, conn.router) {
						s.breakConn(conn, router.AnswerBroken{})
					}
				})
			})
		}
	}
}

// partition drops all messages between nodes for which cut holds, for a time.
func (s *sim) partition(cut func(a, b *simNode) bool, span time.Duration) {
	s.isCut = cut
	s.scheduleAfter(span, func() { s.isCut = func(a, b *simNode) bool { return false } })
}

// partitioned reports whether the network is cut between two nodes.
func (s *sim) partitioned(a, b *simNode) bool { return a != b && s.isCut(a, b) }

// schedule adds an event to the queue.
func (s *sim) schedule(when time.Time, run func()) {
	s.order++
	heap.Push(&s.events, event{at: when, order: s.order, run: run})
}

func (s *sim) scheduleAfter(wait time.Duration, run func()) { s.schedule(s.now.Add(wait), run) }

// run advances the clock by a span and runs the events that fall due.
func (s *sim) run(span time.Duration) {
	end := s.now.Add(span)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// settle runs until every call has its final result, or for the horizon.
func (s *sim) settle() {
	s.run(10 * time.Second) // longer than the longest delay of a caller's request
	for end := s.now.Add(horizon); s.now.Before(end) && s.pending() > 0; {
		s.run(100 * time.Millisecond)
	}
	s.run(time.Second)
}

func (s *sim) pending() int {
	count := 0
	for _, call := range s.calls {
		if len(call.results) == 0 && call.arrived && call.epoch == call.router.epoch {
			count++
		}
	}
	return count
}

// whenAwake calls run immediately, or at the end of the node's pause unless the
// node was restarted meanwhile.
func (s *sim) whenAwake(n *simNode, run func()) {
	if s.now.Before(n.pausedUntil) {
		epoch := n.epoch
		s.schedule(n.pausedUntil, func() {
			if n.epoch == epoch {
				s.whenAwake(n, run)
			}
		})
		return
	}
	run()
}

// send schedules the delivery of a message, unless a fault or partition drops it.
func (s *sim) send(m message) {
	m.delay = hop
	s.fault(&m)
	if m.dropped || s.partitioned(m.from, m.to) {
		if m.conn != nil {
			m.conn.silent = true // TCP delivers nothing after a lost segment
		}
		return
	}
	times := 1
	if m.duplicated {
		times = 2
	}
	for range times {
		s.scheduleAfter(m.delay, func() {
			if s.partitioned(m.from, m.to) {
				if m.conn != nil {
					m.conn.silent = true
				}
				return
			}
			s.whenAwake(m.to, func() { m.deliver(&m) })
		})
	}
}

// rpc makes a control call. serve runs at the called node and passes reply a
// function that then runs at the calling node. failed runs there instead if no
// reply arrives within rpcTimeout.
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
	s.scheduleAfter(rpcTimeout, func() { s.whenAwake(from, func() { finish(failed) }) })
}

// newID returns a UUIDv7 of the simulated time.
func (s *sim) newID() fleet.RequestID {
	s.ids++
	var id fleet.RequestID
	binary.BigEndian.PutUint64(id[:8], uint64(s.now.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], s.ids)
	id[6] = 0x70
	id[8] = 0x80 | id[8]&0x3f
	return id
}

// submit sends a caller's request to a router. change, which may be nil, modifies
// the request first.
func (s *sim) submit(n *simNode, account fleet.Account, change func(*router.Request)) *simCall {
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

// expectedAnswer returns the answer that the backend server makes for a request.
func expectedAnswer(id fleet.RequestID) string {
	return strings.Repeat("answer of "+id.String()+"\n", 5)
}

// checkCall returns an error if a call breaks a guarantee of the path.
func (s *sim) checkCall(call *simCall) error {
	id := call.request.ID
	if !call.request.Idempotent && s.runs[id] > 1 {
		return fmt.Errorf("%s ran %d times", id, s.runs[id])
	}
	if !call.arrived && s.runs[id] == 0 {
		return nil // lost on the way from the caller
	}
	if call.epoch != call.router.epoch && len(call.results) == 0 {
		return nil // its router was restarted, which closed the caller's connection
	}
	if len(call.results) != 1 {
		return fmt.Errorf("%s got %d final results: %+v", id, len(call.results), call.results)
	}
	result := call.results[0]
	switch {
	case result.Outcome == fleet.OutcomeNotRun && s.runs[id] > 0:
		return fmt.Errorf("%s ran and was reported as not run: %+v", id, result)
	case result.Outcome == fleet.OutcomeNotRun && result.RetryAfter <= 0 && result.Status != 422:
		return fmt.Errorf("%s was refused without a time to retry after", id)
	case result.Outcome == fleet.OutcomeCompleted && call.body != expectedAnswer(call.request.Answer.ID()):
		return fmt.Errorf("%s got %q", id, call.body)
	}
	return nil
}

// checkAll fails the test if a call breaks a guarantee.
func (s *sim) checkAll() {
	s.t.Helper()
	for _, call := range s.calls {
		if err := s.checkCall(call); err != nil {
			s.t.Error(err)
		}
	}
}
