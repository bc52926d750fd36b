package agent

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// attempt is one dispatch of a request, of which the network may deliver any
// number of copies at any time.
type attempt struct {
	dispatch Dispatch
	admitted bool
	refused  bool
}

// fleetModel drives one agent by two routers that follow the protocol, over a
// network that drops, delays, doubles and reorders, with restarts of all.
type fleetModel struct {
	*harness
	attempts []*attempt
	byTicket map[Ticket]*attempt
	waiting  []fleet.RequestID // may be dispatched: new, or refused, or fenced elsewhere
	tries    map[fleet.RequestID]uint32
	fenced   map[fleet.RequestID]bool
	open     map[fleet.Address][]*rpc.Grant
	sequence uint64
	started  map[fleet.RequestID]bool
	err      string
}

func newFleetModel(kind settings.ServiceKind) *fleetModel {
	policy := testPolicy(kind)
	m := &fleetModel{
		harness:  newHarness(policy),
		byTicket: make(map[Ticket]*attempt),
		tries:    make(map[fleet.RequestID]uint32),
		fenced:   make(map[fleet.RequestID]bool),
		open:     make(map[fleet.Address][]*rpc.Grant),
		started:  make(map[fleet.RequestID]bool),
	}
	m.limits.MaxEnded = 12
	m.observe = m.watch
	m.restart()
	m.now = m.now.Add(2*MaxClockSkew + time.Millisecond)
	return m
}

func (m *fleetModel) fail(text string) {
	if m.err == "" {
		m.err = text
	}
}

// watch judges each command of the world.
func (m *fleetModel) watch(command Command) {
	switch c := command.(type) {
	case StartRun:
		if m.starts[c.ID] > 1 {
			m.fail("a request ran twice")
		}
		if m.fenced[c.ID] {
			m.fail("a request ran after it was said to be fenced")
		}
		m.started[c.ID] = true
	case Reply:
		m.watchReply(c)
	case Seal:
		if c.State == rpc.RequestState_REQUEST_STATE_FENCED {
			m.sayFenced(c.ID)
		}
	case SendGrants:
		m.open[c.Router] = append(m.open[c.Router], c.Grants...)
	}
}

func (m *fleetModel) sayFenced(id fleet.RequestID) {
	if m.started[id] {
		m.fail("a request that ran was said to be fenced")
	}
	m.fenced[id] = true
}

func (m *fleetModel) watchReply(c Reply) {
	a := m.byTicket[c.Ticket]
	if a == nil {
		return
	}
	switch answer := c.Answer.(type) {
	case Admitted:
		if a.refused {
			m.fail("a dispatch was admitted after a copy of it was refused")
		}
		a.admitted = true
	case Refused:
		if a.admitted || answer.Reason == rpc.RefusalReason_REFUSAL_REASON_DUPLICATE {
			return // of a copy: nobody reads it, each dispatch is one exchange
		}
		if !a.refused {
			m.waiting = append(m.waiting, a.dispatch.ID)
		}
		a.refused = true
	}
}

// create adds a new dispatch of a waiting request to the network.
func (m *fleetModel) create(t *rapid.T, grant uint64, router fleet.Address, incarnation uint64) {
	if len(m.waiting) == 0 {
		m.waiting = append(m.waiting, m.id())
	}
	id := m.waiting[0]
	m.waiting = m.waiting[1:]
	if m.fenced[id] {
		return // its router has sent it elsewhere
	}
	m.tries[id]++
	in := m.dispatch(id, router)
	in.Grant = grant
	in.Attempt = m.tries[id]
	in.RouterIncarnation = incarnation
	in.Waiting = uint32(rapid.IntRange(0, 2).Draw(t, "waiting"))
	in.Suspect = rapid.IntRange(0, 5).Draw(t, "suspect") == 0
	in.Account = fleet.Account(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"))
	m.attempts = append(m.attempts, &attempt{dispatch: in})
}

// deliver brings a copy of a dispatch to the agent.
func (m *fleetModel) deliver(a *attempt) {
	in := a.dispatch
	in.Ticket = m.ticket()
	m.byTicket[in.Ticket] = a
	m.step(in)
}

func (m *fleetModel) anyAttempt(t *rapid.T) *attempt {
	if len(m.attempts) == 0 {
		t.Skip("nothing was sent")
	}
	return rapid.SampledFrom(m.attempts).Draw(t, "attempt")
}

func (m *fleetModel) anyRouter(t *rapid.T) fleet.Address {
	return rapid.SampledFrom([]fleet.Address{routerA, routerB}).Draw(t, "router")
}

// actions are the events that rapid draws from.
func (m *fleetModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"new":      func(t *rapid.T) { m.waiting = append(m.waiting, m.id()) },
		"dispatch": func(t *rapid.T) { m.create(t, 0, m.anyRouter(t), 1); m.deliver(m.attempts[max(0, len(m.attempts)-1)]) },
		"delay":    func(t *rapid.T) { m.create(t, 0, m.anyRouter(t), 1) },
		"copy":     func(t *rapid.T) { m.deliver(m.anyAttempt(t)) },
		"useGrant": m.useGrant,
		"fence":    m.fenceAny,
		"resume":   m.resumeAny,
		"end":      m.endAny,
		"ack":      func(t *rapid.T) { m.step(Acknowledge{IDs: []fleet.RequestID{m.anyAttempt(t).dispatch.ID}}) },
		"cancel":   func(t *rapid.T) { m.step(Cancel{ID: m.anyAttempt(t).dispatch.ID}) },
		"offer": func(t *rapid.T) {
			m.sequence++
			m.step(m.offer(m.anyRouter(t), m.sequence, uint32(rapid.IntRange(0, 4).Draw(t, "count"))))
		},
		"grantFails": func(t *rapid.T) { m.step(GrantAnswered{Router: m.anyRouter(t), Failed: true}) },
		"time": func(t *rapid.T) {
			m.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		"long":    func(t *rapid.T) { m.advance(2 * MinEndedLife) },
		"restart": func(t *rapid.T) { m.harness.restart() },
		"leave":   func(t *rapid.T) { m.step(Drain{Ticket: m.ticket()}) },
		"return":  func(t *rapid.T) { m.step(Drain{Ticket: m.ticket(), Undo: true}) },
		"down":    func(t *rapid.T) { m.step(Health{Up: false}) },
		"up":      func(t *rapid.T) { m.step(Health{Up: true}) },
		"":        m.check,
	}
}

func (m *fleetModel) useGrant(t *rapid.T) {
	router := m.anyRouter(t)
	if len(m.open[router]) == 0 {
		t.Skip("no grant")
	}
	number := m.open[router][0].Number
	m.open[router] = m.open[router][1:]
	m.create(t, number, router, 1)
	if rapid.Bool().Draw(t, "now") && len(m.attempts) > 0 {
		m.deliver(m.attempts[len(m.attempts)-1])
	}
}

func (m *fleetModel) fenceAny(t *rapid.T) {
	id := m.anyAttempt(t).dispatch.ID
	if m.fence(id) == rpc.RequestState_REQUEST_STATE_FENCED {
		m.sayFenced(id)
	}
}

func (m *fleetModel) resumeAny(t *rapid.T) {
	id := m.anyAttempt(t).dispatch.ID
	answer, ok := m.resume(id).(NotServed)
	if ok && answer.State == rpc.RequestState_REQUEST_STATE_FENCED {
		m.sayFenced(id)
	}
}

func (m *fleetModel) endAny(t *rapid.T) {
	for id := range m.running {
		m.end(id, rapid.SampledFrom([]RunEnd{RunComplete, RunFailed, RunCrashed}).Draw(t, "end"))
		return
	}
	t.Skip("nothing runs")
}

// check holds after each event.
func (m *fleetModel) check(t *rapid.T) {
	if m.err != "" {
		t.Fatal(m.err)
	}
	w := m.world
	if len(m.running) != w.running || w.running > w.slots() {
		t.Fatalf("%d run, the agent counts %d of %d slots", len(m.running), w.running, w.slots())
	}
	if most := w.slots() + w.limits.MaxAhead; w.committed() > most {
		t.Fatalf("%d slots committed, at most %d", w.committed(), most)
	}
}

// settle ends all work and judges that every slot is free.
func (m *fleetModel) settle(t *rapid.T) {
	m.step(Health{Up: true}, Drain{Ticket: m.ticket(), Undo: true})
	m.sequence++
	m.step(m.offer(routerA, m.sequence, 0), m.offer(routerB, m.sequence, 0))
	for range 200 {
		for id := range m.running {
			m.end(id, RunComplete)
		}
		m.advance(MaxGrantLease)
	}
	m.check(t)
	if free := m.world.free(); free != m.world.slots() {
		t.Fatalf("%d of %d slots are free after all work has ended", free, m.world.slots())
	}
	if left := m.world.offers + m.world.requests.Len() + m.world.accounts.Len() + m.world.grants.Len() + len(m.world.held); left != 0 {
		t.Fatalf("%d rows are left after all work has ended", left)
	}
}

// Symptom: a request runs twice, or runs although a caller was told that it was
// not run, or a slot is never given out again.
// Sequence: any interleaving of dispatches, delayed and doubled copies, fences,
// resumes, lapsed leases, crashes, restarts and draining.
// Cause: a copy of a message is taken for a new one, or an end is missed.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kinds := []settings.ServiceKind{settings.KindModel, settings.KindPlain}
		m := newFleetModel(rapid.SampledFrom(kinds).Draw(t, "kind"))
		t.Repeat(m.actions())
		m.settle(t)
	})
}
