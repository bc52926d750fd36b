package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// fault is a row of the fault matrix in docs/PROOF.md.
type fault string

const (
	dropped   fault = "dropped"
	delayed   fault = "delayed"
	doubled   fault = "doubled"
	reordered fault = "reordered"
	heldPast  fault = "held-past-lease"
	restarted fault = "restarted-empty"
	paused    fault = "paused"
	partition fault = "partition"
	flood     fault = "flood"
	crashed   fault = "engine-crash"
	leaving   fault = "leaving"
)

// cell is one cell of the fault matrix: a fault at a step of a request.
type cell struct {
	step  fleet.Step
	fault fault
	run   func(*testing.T, *harness)
}

// Refusals and states under short names.
const (
	noSlot      = rpc.RefusalReason_REFUSAL_REASON_NO_SLOT
	lapsed      = rpc.RefusalReason_REFUSAL_REASON_GRANT_LAPSED
	isFenced    = rpc.RefusalReason_REFUSAL_REASON_FENCED
	isDuplicate = rpc.RefusalReason_REFUSAL_REASON_DUPLICATE
	pastTime    = rpc.RefusalReason_REFUSAL_REASON_DEADLINE
	backendDown = rpc.RefusalReason_REFUSAL_REASON_BACKEND_DOWN
	isLeaving   = rpc.RefusalReason_REFUSAL_REASON_LEAVING
	convicted   = rpc.RefusalReason_REFUSAL_REASON_CONVICTED

	stFenced    = rpc.RequestState_REQUEST_STATE_FENCED
	stRunning   = rpc.RequestState_REQUEST_STATE_RUNNING
	stComplete  = rpc.RequestState_REQUEST_STATE_COMPLETE
	stFailed    = rpc.RequestState_REQUEST_STATE_FAILED
	stForgotten = rpc.RequestState_REQUEST_STATE_FORGOTTEN
)

// TestMatrix walks the steps that the agent owns. Each cell states what goes
// wrong, what would be seen without the code, and checks that it isn't.
func TestMatrix(t *testing.T) {
	var cells []cell
	cells = append(cells, offerCells...)
	cells = append(cells, grantCells...)
	cells = append(cells, sendCells...)
	cells = append(cells, runCells...)
	cells = append(cells, answerCells...)
	cells = append(cells, acknowledgeCells...)
	for _, c := range cells {
		t.Run(fmt.Sprintf("%s/%s", c.step, c.fault), func(t *testing.T) {
			h := newHarness(testPolicy(settings.KindModel))
			h.advance(2*MaxClockSkew + time.Millisecond) // ids made from now on are known to be new
			c.run(t, h)
			if w := h.world; w.running > w.slots() || w.committed() > w.slots()+w.limits.MaxAhead {
				t.Errorf("%d run, %d are committed, of %d slots", w.running, w.committed(), w.slots())
			}
		})
	}
}

func wantRefused(t *testing.T, answer Answer, want rpc.RefusalReason) {
	t.Helper()
	if refusal(answer) != want {
		t.Errorf("answer %+v, want %v", answer, want)
	}
}

func wantAdmitted(t *testing.T, answer Answer) {
	t.Helper()
	if _, ok := answer.(Admitted); !ok {
		t.Errorf("answer %+v, want admitted", answer)
	}
}

func wantState(t *testing.T, got, want rpc.RequestState) {
	t.Helper()
	if got != want {
		t.Errorf("state %v, want %v", got, want)
	}
}

func wantGrants(t *testing.T, got []*rpc.Grant, want int) {
	t.Helper()
	if len(got) != want {
		t.Errorf("%d grants, want %d", len(got), want)
	}
}

func wantFree(t *testing.T, h *harness, want int) {
	t.Helper()
	if got := h.world.free(); got != want {
		t.Errorf("%d slots are free, want %d", got, want)
	}
}

// fill takes both slots and returns the ids that run.
func fill(t *testing.T, h *harness) []fleet.RequestID {
	t.Helper()
	ids := []fleet.RequestID{h.id(), h.id()}
	for _, id := range ids {
		wantAdmitted(t, h.send(h.dispatch(id, routerA)))
	}
	return ids
}

// granted lets router A have one grant and returns a dispatch that uses it.
func granted(t *testing.T, h *harness) Dispatch {
	t.Helper()
	h.offers++
	h.step(h.offer(routerA, h.offers, 1))
	grants := h.grants(routerA)
	wantGrants(t, grants, 1)
	in := h.dispatch(h.id(), routerA)
	in.Grant = grants[0].Number
	return in
}

// has tells whether the last step gave a command for which match is true.
func has[C Command](h *harness, match func(C) bool) bool {
	for _, command := range h.commands {
		if c, ok := command.(C); ok && match(c) {
			return true
		}
	}
	return false
}

func anyOf[C Command](C) bool { return true }

var offerCells = []cell{
	// An offer is lost, so a free server would stay idle while work waits. The
	// idle agent asks and learns of it.
	{fleet.StepOffer, dropped, func(t *testing.T, h *harness) {
		h.advance(MaxAskInterval)
		if !has(h, anyOf[AskRouter]) {
			t.Fatal("the idle agent asks nobody")
		}
		h.step(FreeAnswered{Router: routerA, Incarnation: 1, Offers: h.offer(routerA, 0, 1).Offers})
		wantGrants(t, h.grants(routerA), 1)
	}},
	// An offer of a router that has restarted since arrives late. Its queue is
	// gone; a grant for it would keep a slot idle for a lease.
	{fleet.StepOffer, delayed, func(t *testing.T, h *harness) {
		late := h.offer(routerA, 9, 1)
		current := h.offer(routerA, 1, 0)
		current.Incarnation = 2
		h.step(current)
		h.step(late)
		wantGrants(t, h.grants(routerA), 0)
	}},
	// A doubled offer must not count twice.
	{fleet.StepOffer, doubled, func(t *testing.T, h *harness) {
		in := h.offer(routerA, 1, 1)
		h.step(in, in)
		wantGrants(t, h.grants(routerA), 1)
	}},
	// A withdrawal overtakes the offer that it withdraws.
	{fleet.StepOffer, reordered, func(t *testing.T, h *harness) {
		h.step(h.offer(routerA, 2, 0))
		h.step(h.offer(routerA, 1, 1))
		wantGrants(t, h.grants(routerA), 0)
	}},
	// A router vanishes without withdrawing: its offers lapse.
	{fleet.StepOffer, heldPast, func(t *testing.T, h *harness) {
		ids := fill(t, h)
		h.step(h.offer(routerB, 1, 1))
		h.advance(OfferLife + SweepInterval)
		h.end(ids[0], RunComplete)
		wantGrants(t, h.grants(routerB), 0)
	}},
	// The agent restarts empty; the router believes that its offers are known.
	{fleet.StepOffer, restarted, func(t *testing.T, h *harness) {
		in := h.offer(routerA, 7, 1)
		if noted := h.ask(in.Ticket, in).(OfferNoted); !noted.Resend {
			t.Error("a router that the agent does not know is not asked for all its offers")
		}
	}},
	// A router is paused and answers no grant. The slot goes to the other one.
	{fleet.StepOffer, paused, func(t *testing.T, h *harness) {
		ids := fill(t, h)
		h.step(h.offer(routerA, 1, 1), h.offer(routerB, 1, 1))
		h.end(ids[0], RunComplete)
		first := h.grants(routerA)
		wantGrants(t, first, 1)
		h.step(GrantAnswered{Router: routerA, Numbers: []uint64{first[0].Number}, Failed: true})
		wantGrants(t, h.grants(routerB), 1)
	}},
	// A router is cut off and rejoins; the agent has dropped its offers, which
	// the router does not know, and asks for them.
	{fleet.StepOffer, partition, func(t *testing.T, h *harness) {
		full := h.offer(routerA, 1, 1)
		full.Full = true
		h.step(full)
		h.step(GrantAnswered{Router: routerA, Numbers: []uint64{h.grants(routerA)[0].Number}, Failed: true})
		in := h.offer(routerA, 2, 1)
		if noted := h.ask(in.Ticket, in).(OfferNoted); !noted.Resend {
			t.Error("the router that rejoins is not asked for all its offers")
		}
	}},
	// One account offers without end from both routers. The other's single
	// request must not wait behind it.
	{fleet.StepOffer, flood, func(t *testing.T, h *harness) {
		ids := fill(t, h)
		h.step(h.offer(routerA, 1, 100_000), h.offer(routerB, 1, 100_000))
		small := h.offer(routerB, 2, 1)
		small.Offers[0].Account = "small"
		h.step(small)
		h.end(ids[0], RunComplete)
		h.end(ids[1], RunComplete)
		if h.world.accounts.Get("small") == nil || h.world.accounts.Get("small").granted != 1 {
			t.Error("the small account has no grant")
		}
	}},
	// The backend server goes down and comes back: offers outlive it.
	{fleet.StepOffer, crashed, func(t *testing.T, h *harness) {
		h.step(Health{Up: false})
		h.step(h.offer(routerA, 1, 1))
		wantGrants(t, h.grants(routerA), 0)
		h.step(Health{Up: true})
		wantGrants(t, h.grants(routerA), 1)
	}},
	// A leaving server must not ask for work or grant.
	{fleet.StepOffer, leaving, func(t *testing.T, h *harness) {
		h.step(Drain{Ticket: h.ticket()})
		in := h.offer(routerA, 1, 1)
		if noted := h.ask(in.Ticket, in).(OfferNoted); noted.FreeSlots != 0 {
			t.Errorf("%d free slots are told", noted.FreeSlots)
		}
		h.advance(MaxAskInterval)
		if has(h, anyOf[SendGrants]) || has(h, anyOf[AskRouter]) {
			t.Error("a leaving agent seeks work")
		}
	}},
}

var grantCells = []cell{
	// A grant is lost. Its number is dead at once, and the slot is not.
	{fleet.StepGrant, dropped, func(t *testing.T, h *harness) {
		in := granted(t, h)
		h.step(GrantAnswered{Router: routerA, Numbers: []uint64{in.Grant}, Failed: true})
		wantFree(t, h, 2)
		wantRefused(t, h.send(in), lapsed)
	}},
	// The reply to a grant comes after the dispatch on it and must not undo it.
	{fleet.StepGrant, delayed, func(t *testing.T, h *harness) {
		in := granted(t, h)
		wantAdmitted(t, h.send(in))
		h.step(GrantAnswered{Router: routerA, Incarnation: 1, Numbers: []uint64{in.Grant}})
		wantFree(t, h, 1)
	}},
	// A doubled decline must free the slot once.
	{fleet.StepGrant, doubled, func(t *testing.T, h *harness) {
		in := granted(t, h)
		decline := GrantAnswered{Router: routerA, Incarnation: 1, Numbers: []uint64{in.Grant}, Declined: []uint64{in.Grant}}
		h.step(decline, decline)
		wantFree(t, h, 2)
	}},
	// A decline comes after the dispatch on the same number. The slot is in use.
	{fleet.StepGrant, reordered, func(t *testing.T, h *harness) {
		in := granted(t, h)
		wantAdmitted(t, h.send(in))
		late := h.offer(routerA, 9, 0)
		late.Declined = []uint64{in.Grant}
		h.step(late)
		wantFree(t, h, 1)
		wantState(t, h.fence(in.ID), stRunning)
	}},
	// A router sends on a lease that has lapsed; the slot may be another's.
	{fleet.StepGrant, heldPast, func(t *testing.T, h *harness) {
		in := granted(t, h)
		h.advance(time.Second + GrantMargin)
		wantFree(t, h, 2)
		wantRefused(t, h.send(in), lapsed)
	}},
	// The agent restarts: a number of the earlier process means nothing.
	{fleet.StepGrant, restarted, func(t *testing.T, h *harness) {
		in := granted(t, h)
		h.restart()
		again := granted(t, h)
		if again.Grant == in.Grant {
			t.Error("two processes gave the same number")
		}
		wantRefused(t, h.send(in), lapsed)
		wantAdmitted(t, h.send(again))
	}},
	// The agent itself is paused past its leases. The late dispatch and the
	// lapse are taken in one step; the slot is used once.
	{fleet.StepGrant, paused, func(t *testing.T, h *harness) {
		in := granted(t, h)
		h.now = h.now.Add(time.Minute)
		in.Deadline = h.now.Add(time.Minute)
		wantAdmitted(t, h.send(in))
		wantFree(t, h, 1)
	}},
	// A router is cut off with a grant: the slot comes back after the lease,
	// and the router's offers do not take it again.
	{fleet.StepGrant, partition, func(t *testing.T, h *harness) {
		h.step(h.offer(routerA, 1, 9))
		wantFree(t, h, 0)
		h.advance(time.Second + GrantMargin)
		wantFree(t, h, 2)
		wantGrants(t, h.grants(routerA), 0)
	}},
	// However much is offered, only free slots are granted, and slots that
	// become free at once do not all go to one account.
	{fleet.StepGrant, flood, func(t *testing.T, h *harness) {
		in := h.offer(routerA, 1, 100_000)
		second := in.Offers[0]
		second.Account = "b"
		in.Offers = append(in.Offers, second)
		h.step(in)
		grants := h.grants(routerA)
		wantGrants(t, grants, 2)
		if grants[0].Account == grants[1].Account {
			t.Errorf("both slots go to account %s", grants[0].Account)
		}
	}},
	// The backend server goes down and comes back while a grant is out. The
	// slot is free again, and the number is dead.
	{fleet.StepGrant, crashed, func(t *testing.T, h *harness) {
		in := granted(t, h)
		h.step(Health{Up: false})
		h.step(Health{Up: true})
		wantFree(t, h, 2)
		wantRefused(t, h.send(in), lapsed)
	}},
	// The server is to leave while a grant is out.
	{fleet.StepGrant, leaving, func(t *testing.T, h *harness) {
		in := granted(t, h)
		h.step(Drain{Ticket: h.ticket()})
		wantRefused(t, h.send(in), isLeaving)
		h.step(Drain{Ticket: h.ticket(), Undo: true})
		granted(t, h)
		h.step(Drain{Ticket: h.ticket()})
		h.step(Drain{Ticket: h.ticket(), Undo: true})
		wantFree(t, h, 2)
	}},
}

var sendCells = []cell{
	// A dispatch is lost; the router asks for the answer. From then on the
	// agent must not run it, because the router goes elsewhere.
	{fleet.StepSend, dropped, func(t *testing.T, h *harness) {
		in := h.dispatch(h.id(), routerA)
		if answer := h.resume(in.ID).(NotServed); answer.State != stFenced {
			t.Errorf("resume says %v", answer.State)
		}
		wantRefused(t, h.send(in), isFenced)
	}},
	// A dispatch arrives after its deadline: its caller has been answered.
	{fleet.StepSend, delayed, func(t *testing.T, h *harness) {
		in := h.dispatch(h.id(), routerA)
		h.advance(2 * time.Minute)
		wantRefused(t, h.send(in), pastTime)
	}},
	// A doubled dispatch must run once.
	{fleet.StepSend, doubled, func(t *testing.T, h *harness) {
		in := h.dispatch(h.id(), routerA)
		wantAdmitted(t, h.send(in))
		wantRefused(t, h.send(in), isDuplicate)
		h.end(in.ID, RunComplete)
		h.step(Acknowledge{IDs: []fleet.RequestID{in.ID}})
		wantRefused(t, h.send(in), isDuplicate)
		if h.starts[in.ID] != 1 {
			t.Errorf("%d runs", h.starts[in.ID])
		}
	}},
	// A fence overtakes the dispatch that it concerns.
	{fleet.StepSend, reordered, func(t *testing.T, h *harness) {
		in := h.dispatch(h.id(), routerA)
		wantState(t, h.fence(in.ID), stFenced)
		wantRefused(t, h.send(in), isFenced)
	}},
	// A refused dispatch is held back in the network until a slot is free. The
	// router was told "not run" and has sent it elsewhere.
	{fleet.StepSend, heldPast, func(t *testing.T, h *harness) {
		ids := fill(t, h)
		in := h.dispatch(h.id(), routerA)
		wantRefused(t, h.send(in), noSlot)
		h.step(h.offer(routerA, 1, 0))
		h.end(ids[0], RunComplete)
		in.Ticket = h.ticket()
		wantRefused(t, h.send(in), noSlot)
	}},
	// The agent restarts, and a copy of a dispatch that it ran before arrives.
	{fleet.StepSend, restarted, func(t *testing.T, h *harness) {
		in := h.dispatch(h.id(), routerA)
		wantAdmitted(t, h.send(in))
		h.restart()
		wantRefused(t, h.send(in), noSlot)
		wantState(t, h.fence(in.ID), stForgotten)
		if h.starts[in.ID] != 1 {
			t.Errorf("%d runs", h.starts[in.ID])
		}
	}},
	// A router that was paused sends on a grant of its former incarnation.
	{fleet.StepSend, paused, func(t *testing.T, h *harness) {
		in := granted(t, h)
		news := h.offer(routerA, 1, 0)
		news.Incarnation = 2
		h.step(news)
		wantFree(t, h, 2)
		wantRefused(t, h.send(in), lapsed)
	}},
	// The connection is cut after the dispatch arrived. The fence tells that it
	// runs, so the router resumes and sends it nowhere else.
	{fleet.StepSend, partition, func(t *testing.T, h *harness) {
		in := h.dispatch(h.id(), routerA)
		h.send(in)
		wantState(t, h.fence(in.ID), stRunning)
		h.end(in.ID, RunComplete)
		wantState(t, h.fence(in.ID), stComplete)
	}},
	// A flood of dispatches: the slots are used, the rest is refused and costs
	// bounded memory. A table that is full of fresh ids refuses too.
	{fleet.StepSend, flood, func(t *testing.T, h *harness) {
		h.limits.MaxEnded = 100
		h.restart()
		h.advance(2*MaxClockSkew + time.Millisecond)
		for range 1000 {
			h.send(h.dispatch(h.id(), routerA))
		}
		if h.world.running != 2 || h.world.ended.len() > 100 || len(h.world.queue) != 0 {
			t.Errorf("%d run, %d queued, %d ids remembered", h.world.running, len(h.world.queue), h.world.ended.len())
		}
		wantState(t, h.fence(h.id()), stForgotten)
	}},
	// The backend server is down: the request may go to another at once.
	{fleet.StepSend, crashed, func(t *testing.T, h *harness) {
		h.step(Health{Up: false})
		wantRefused(t, h.send(h.dispatch(h.id(), routerA)), backendDown)
	}},
	// The platform's list says that the VM leaves.
	{fleet.StepSend, leaving, func(t *testing.T, h *harness) {
		h.step(Members{View: testMembers(), Leaving: true})
		wantRefused(t, h.send(h.dispatch(h.id(), routerA)), isLeaving)
	}},
}
