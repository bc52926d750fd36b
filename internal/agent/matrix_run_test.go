package agent

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// started runs one request and returns its dispatch.
func started(t *testing.T, h *harness) Dispatch {
	t.Helper()
	in := h.dispatch(h.id(), routerA)
	wantAdmitted(t, h.send(in))
	return in
}

// completed runs one request to its end and returns its id.
func completed(t *testing.T, h *harness) fleet.RequestID {
	t.Helper()
	id := started(t, h).ID
	h.end(id, RunComplete)
	return id
}

func acknowledge(h *harness, ids ...fleet.RequestID) { h.step(Acknowledge{IDs: ids}) }

func wantServed(t *testing.T, answer Answer) {
	t.Helper()
	if _, ok := answer.(Served); !ok {
		t.Errorf("resume answers %+v, want the answer", answer)
	}
}

func sealed(h *harness, state rpc.RequestState) bool {
	return has(h, func(s Seal) bool { return s.State == state })
}

var runCells = []cell{
	// The backend server takes no connection: nothing was sent, so the request
	// is not run, and the router may go elsewhere.
	{fleet.StepRun, dropped, func(t *testing.T, h *harness) {
		in := started(t, h)
		h.end(in.ID, RunNotSent)
		if !sealed(h, stFenced) {
			t.Error("the answer does not say that it was not run")
		}
		wantRefused(t, h.send(in), isFenced)
	}},
	// Progress arrives after the end and must not be charged again.
	{fleet.StepRun, delayed, func(t *testing.T, h *harness) {
		id := completed(t, h)
		before := h.world.clocks.Clock("a")
		h.step(RunProgress{ID: id, Tokens: 1000})
		if after := h.world.clocks.Clock("a"); after != before {
			t.Errorf("the clock moves from %v to %v", before, after)
		}
	}},
	// A doubled end must free one slot.
	{fleet.StepRun, doubled, func(t *testing.T, h *harness) {
		ids := fill(t, h)
		h.end(ids[0], RunComplete)
		h.step(RunEnded{ID: ids[0], End: RunComplete})
		wantFree(t, h, 1)
	}},
	// Reports of progress overtake each other: the charge never falls.
	{fleet.StepRun, reordered, func(t *testing.T, h *harness) {
		id := started(t, h).ID
		h.step(RunProgress{ID: id, Tokens: 50}, RunProgress{ID: id, Tokens: 20})
		if charged := h.world.requests.Get(id).charged; charged != 50 {
			t.Errorf("%v charged, want 50", charged)
		}
	}},
	// A run outlives its deadline. It is stopped, and its slot is free only
	// when the backend server has stopped.
	{fleet.StepRun, heldPast, func(t *testing.T, h *harness) {
		id := started(t, h).ID
		h.advance(2 * time.Minute)
		if !has(h, func(c CancelRun) bool { return c.ID == id }) {
			t.Error("the run is not stopped")
		}
		wantFree(t, h, 1)
		h.end(id, RunFailed)
		wantFree(t, h, 2)
	}},
	// The router restarts empty. The run goes on, and its answer goes in time.
	{fleet.StepRun, restarted, func(t *testing.T, h *harness) {
		id := started(t, h).ID
		news := h.offer(routerA, 1, 0)
		news.Incarnation = 2
		h.step(news)
		h.end(id, RunComplete)
		h.advance(h.policy.AnswerRetention + SweepInterval)
		if len(h.world.held) != 0 || h.world.heldBytes != 0 {
			t.Errorf("%d answers are held", len(h.world.held))
		}
	}},
	// The agent is paused while a run ends and its deadline passes.
	{fleet.StepRun, paused, func(t *testing.T, h *harness) {
		id := started(t, h).ID
		h.now = h.now.Add(2 * time.Minute)
		h.end(id, RunComplete)
		wantFree(t, h, 2)
		wantState(t, h.fence(id), stComplete)
	}},
	// The router is cut off during the run and rejoins.
	{fleet.StepRun, partition, func(t *testing.T, h *harness) {
		id := started(t, h).ID
		h.step(GrantAnswered{Router: routerA, Failed: true})
		h.end(id, RunComplete)
		wantServed(t, h.resume(id))
	}},
	// Grants ahead bring more than the server takes: the rest waits here and
	// never runs beside the slots.
	{fleet.StepRun, flood, func(t *testing.T, h *harness) {
		h.policy.Kind = settings.KindPlain
		h.step(Settings{View: fakeView{policy: h.policy}})
		h.world.runTime.add(time.Millisecond)
		h.world.turnaround.add(time.Millisecond)
		h.step(h.offer(routerA, 1, 100))
		for _, g := range h.grants(routerA) {
			in := h.dispatch(h.id(), routerA)
			in.Grant = g.Number
			wantAdmitted(t, h.send(in))
		}
		if h.world.running != 2 || len(h.world.queue) != 2 {
			t.Errorf("%d run, %d wait, want 2 and 2", h.world.running, len(h.world.queue))
		}
	}},
	// A request crashes each server that runs it. After the first crash all in
	// flight are suspects and run one at a time; the second crash convicts the
	// one suspect in flight and no other.
	{fleet.StepRun, crashed, func(t *testing.T, h *harness) {
		guilty, innocent := h.dispatch(h.id(), routerA), h.dispatch(h.id(), routerA)
		wantAdmitted(t, h.send(guilty))
		wantAdmitted(t, h.send(innocent))
		h.end(innocent.ID, RunCrashed)
		h.end(guilty.ID, RunCrashed)
		h.advance(2 * crashWindow)
		h.policy.Slots = 4
		h.step(Settings{View: fakeView{policy: h.policy}})
		again := h.dispatch(h.id(), routerA)
		again.Fingerprint = guilty.Fingerprint
		wantAdmitted(t, h.send(again))
		bystander := started(t, h)
		other := h.dispatch(h.id(), routerA)
		other.Fingerprint = innocent.Fingerprint
		wantRefused(t, h.send(other), noSlot)
		onGrant := granted(t, h)
		onGrant.Fingerprint = innocent.Fingerprint
		wantAdmitted(t, h.send(onGrant))
		if h.running[onGrant.ID] {
			t.Error("two suspects run at once")
		}
		h.end(bystander.ID, RunCrashed)
		h.end(again.ID, RunCrashed)
		if !has(h, func(n Note) bool { return n.Event == event.RequestConvicted }) || !h.running[onGrant.ID] {
			t.Error("nothing is convicted, or the other suspect does not run now")
		}
		again.ID, again.Ticket = h.id(), h.ticket()
		wantRefused(t, h.send(again), convicted)
		if h.world.crash.suspect(bystander.Fingerprint) {
			t.Error("a bystander is blamed")
		}
	}},
	// The server is to leave: what runs is not cut, and only then it is idle.
	{fleet.StepRun, leaving, func(t *testing.T, h *harness) {
		id := started(t, h).ID
		h.step(Stopping{})
		if has(h, anyOf[Idle]) || has(h, anyOf[CancelRun]) {
			t.Error("a run is cut")
		}
		h.end(id, RunComplete)
		if has(h, anyOf[Idle]) {
			t.Error("the answer is lost")
		}
		acknowledge(h, id)
		if !has(h, anyOf[Idle]) {
			t.Error("the agent does not end")
		}
	}},
}
