package agent

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

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
