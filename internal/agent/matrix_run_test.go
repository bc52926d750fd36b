package agent

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
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

var answerCells = []cell{
	// The answer is written out and lost on the way. It is still held.
	{fleet.StepAnswer, dropped, func(t *testing.T, h *harness) {
		id := completed(t, h)
		h.step(Delivered{ID: id})
		wantServed(t, h.resume(id))
	}},
	// The router asks after the retention. It must not hear "never run".
	{fleet.StepAnswer, delayed, func(t *testing.T, h *harness) {
		id := completed(t, h)
		h.advance(h.policy.AnswerRetention + SweepInterval)
		if answer := h.resume(id).(NotServed); answer.State != stFailed {
			t.Errorf("resume says %v", answer.State)
		}
		wantState(t, h.fence(id), stFailed)
	}},
	// Two connections read one answer.
	{fleet.StepAnswer, doubled, func(t *testing.T, h *harness) {
		id := started(t, h).ID
		wantServed(t, h.resume(id))
		wantServed(t, h.resume(id))
	}},
	// A resume overtakes the dispatch on the slower connection.
	{fleet.StepAnswer, reordered, func(t *testing.T, h *harness) {
		in := h.dispatch(h.id(), routerA)
		h.resume(in.ID)
		wantRefused(t, h.send(in), isFenced)
		if h.starts[in.ID] != 0 {
			t.Error("it ran")
		}
	}},
	// The agent restarts with the answer. Whether it ran can't be told.
	{fleet.StepAnswer, restarted, func(t *testing.T, h *harness) {
		id := completed(t, h)
		h.restart()
		if answer := h.resume(id).(NotServed); answer.State != stForgotten {
			t.Errorf("resume says %v", answer.State)
		}
	}},
	// The router is cut off for less than the retention.
	{fleet.StepAnswer, partition, func(t *testing.T, h *harness) {
		id := completed(t, h)
		h.advance(h.policy.AnswerRetention / 2)
		wantServed(t, h.resume(id))
	}},
	// Answers pile up without acknowledgement. Those that nobody has read stay
	// and stop new work; those that were written out make room.
	{fleet.StepAnswer, flood, func(t *testing.T, h *harness) {
		h.limits.MaxHeldAnswers = 2
		h.restart()
		h.advance(2*MaxClockSkew + time.Millisecond)
		first, second := completed(t, h), completed(t, h)
		wantRefused(t, h.send(h.dispatch(h.id(), routerA)), noSlot)
		wantServed(t, h.resume(first))
		h.step(Delivered{ID: second})
		wantServed(t, h.resume(first))
		wantAdmitted(t, h.send(h.dispatch(h.id(), routerA)))
	}},
	// The server goes down with a run: there is no answer, and no "not run".
	{fleet.StepAnswer, crashed, func(t *testing.T, h *harness) {
		id := started(t, h).ID
		h.end(id, RunCrashed)
		if !has(h, func(s Seal) bool { return s.State == stFailed && s.Crashed }) {
			t.Error("the router does not hear of the crash")
		}
		wantState(t, h.fence(id), stFailed)
	}},
	// The agent stops; an answer that was written out waits a little for a
	// router that lost the connection.
	{fleet.StepAnswer, leaving, func(t *testing.T, h *harness) {
		id := completed(t, h)
		h.step(Stopping{})
		h.step(Delivered{ID: id})
		if has(h, anyOf[Idle]) {
			t.Error("the agent ends at once")
		}
		h.advance(deliveredGrace)
		if !has(h, anyOf[Idle]) {
			t.Error("the agent does not end")
		}
	}},
}

var acknowledgeCells = []cell{
	// An acknowledgement is lost: the retention ends the holding.
	{fleet.StepAcknowledge, dropped, func(t *testing.T, h *harness) {
		id := completed(t, h)
		h.advance(h.policy.AnswerRetention + SweepInterval)
		if h.world.requests.Get(id) != nil || !has(h, func(c ForgetAnswer) bool { return c.ID == id }) {
			t.Error("the answer is held for good")
		}
	}},
	// An acknowledgement arrives after the retention.
	{fleet.StepAcknowledge, delayed, func(t *testing.T, h *harness) {
		id := completed(t, h)
		h.advance(h.policy.AnswerRetention + SweepInterval)
		acknowledge(h, id)
		wantState(t, h.fence(id), stFailed)
	}},
	// A doubled acknowledgement must not count the bytes twice.
	{fleet.StepAcknowledge, doubled, func(t *testing.T, h *harness) {
		id := completed(t, h)
		h.step(Acknowledge{IDs: []fleet.RequestID{id, id}}, Acknowledge{IDs: []fleet.RequestID{id}})
		if h.world.heldBytes != 0 || len(h.world.held) != 0 {
			t.Errorf("%d bytes, %d answers held", h.world.heldBytes, len(h.world.held))
		}
	}},
	// An acknowledgement of a run that has not ended is wrong and ignored.
	{fleet.StepAcknowledge, reordered, func(t *testing.T, h *harness) {
		id := started(t, h).ID
		acknowledge(h, id)
		h.end(id, RunComplete)
		wantServed(t, h.resume(id))
	}},
	// The agent restarts: an acknowledgement of an unknown id does nothing.
	{fleet.StepAcknowledge, restarted, func(t *testing.T, h *harness) {
		id := completed(t, h)
		h.restart()
		acknowledge(h, id)
		wantState(t, h.fence(id), stForgotten)
	}},
	// The router is paused and acknowledges late, within the retention.
	{fleet.StepAcknowledge, paused, func(t *testing.T, h *harness) {
		id := completed(t, h)
		h.advance(h.policy.AnswerRetention / 2)
		acknowledge(h, id)
		if len(h.world.held) != 0 {
			t.Error("the answer is still held")
		}
	}},
	// A flood of acknowledgements for ids that were never here costs nothing.
	{fleet.StepAcknowledge, flood, func(t *testing.T, h *harness) {
		for range 1000 {
			acknowledge(h, h.id())
		}
		if h.world.ended.len() != 0 {
			t.Errorf("%d ids remembered", h.world.ended.len())
		}
	}},
	// The last acknowledgement ends a stopping agent.
	{fleet.StepAcknowledge, leaving, func(t *testing.T, h *harness) {
		id := completed(t, h)
		h.step(Stopping{})
		acknowledge(h, id)
		if !has(h, anyOf[Idle]) {
			t.Error("the agent does not end")
		}
	}},
}
