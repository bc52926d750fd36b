package agent

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

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
