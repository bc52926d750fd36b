package agent

import (
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// Reasons that routers pass on in errors to callers and operators.
const (
	reasonNeverRun  = "the request has not run here and never will"
	reasonForgotten = "the agent started after the request was made"
	reasonGone      = "the answer is no longer held"
	reasonFenced    = "fenced before its run"
	reasonCancelled = "cancelled"
	reasonDeadline  = "deadline passed"
	reasonNotSent   = "the backend server did not take it"
)

// takeResume answers a router that opens a new connection for an answer. An id
// that was never here is fenced, so that the router may go elsewhere.
func (w *World) takeResume(now time.Time, in Resume) {
	if w.requests.Get(in.ID) != nil {
		w.reply(in.Ticket, Served{})
		return
	}
	switch state := w.fence(now, in.ID); state {
	case rpc.RequestState_REQUEST_STATE_FENCED:
		w.reply(in.Ticket, NotServed{State: state, Reason: reasonNeverRun})
	case rpc.RequestState_REQUEST_STATE_FORGOTTEN:
		w.reply(in.Ticket, NotServed{State: state, Reason: reasonForgotten})
	default:
		w.reply(in.Ticket, NotServed{State: rpc.RequestState_REQUEST_STATE_FAILED, Reason: reasonGone})
	}
}

// takeFence tells a request's state and forbids a run that has not begun.
func (w *World) takeFence(now time.Time, in Fence) {
	row := w.requests.Get(in.ID)
	if row == nil {
		w.reply(in.Ticket, FenceState{State: w.fence(now, in.ID)})
		return
	}
	if row.state == stateQueued {
		w.endWithoutRun(now, row, reasonFenced)
	}
	w.reply(in.Ticket, FenceState{State: row.wireState()})
}

// fence is the state of an id without a row. An id that has never been here is
// remembered as fenced. FORGOTTEN is the answer where nothing can be promised:
// the id may have been here before the horizon of the table.
func (w *World) fence(now time.Time, id fleet.RequestID) rpc.RequestState {
	known := w.ended.get(id)
	if known > fateRefused {
		return known.wireState()
	}
	if !w.ended.covers(id) || known == fateUnknown && w.ended.full(now) {
		return rpc.RequestState_REQUEST_STATE_FORGOTTEN
	}
	w.ended.put(now, id, fateFenced)
	return rpc.RequestState_REQUEST_STATE_FENCED
}

// takeCancel ends a request that its caller has left.
func (w *World) takeCancel(now time.Time, in Cancel) {
	row := w.requests.Get(in.ID)
	if row == nil {
		w.fence(now, in.ID)
		return
	}
	w.cancel(now, row, reasonCancelled)
}

// cancel ends a queued request and orders a running one to stop. The slot of a
// running request is free only when its end is reported.
func (w *World) cancel(now time.Time, row *request, reason string) {
	switch {
	case row.state == stateQueued:
		w.endWithoutRun(now, row, reason)
	case row.state == stateRunning && !row.cancelled:
		row.cancelled = true
		w.emit(CancelRun{ID: row.id})
	}
}

// endWithoutRun ends a queued request.
func (w *World) endWithoutRun(now time.Time, row *request, reason string) {
	w.queue = slices.DeleteFunc(w.queue, func(r *request) bool { return r == row })
	w.finish(now, row, stateFenced)
	w.clocks.Abandon(row.id)
	w.seal(row, reason, false)
}

// takeProgress charges what a run has produced.
func (w *World) takeProgress(in RunProgress) {
	row := w.requests.Get(in.ID)
	if row == nil || row.state != stateRunning || in.Tokens <= row.tokens {
		return
	}
	w.charge(row, float64(in.Tokens-row.tokens)*w.policy.TokenCost)
	row.tokens = in.Tokens
}

// takeRunEnded frees the slot of a run and settles its charge.
func (w *World) takeRunEnded(now time.Time, in RunEnded) {
	row := w.requests.Get(in.ID)
	if row == nil || row.state != stateRunning {
		return
	}
	w.running--
	if row.suspect {
		w.suspectsRun--
	}
	row.bytes = in.Bytes
	crashed := in.End == RunCrashed
	if crashed {
		w.takeCrash(now, row)
	}
	w.settle(now, row, in)
	w.finish(now, row, endState(in.End))
	w.seal(row, in.Reason, crashed)
}

func endState(end RunEnd) requestState {
	switch end {
	case RunComplete:
		return stateComplete
	case RunNotSent:
		return stateFenced
	default:
		return stateFailed
	}
}

// finish moves a request to its last state. Its answer is held from now on.
func (w *World) finish(now time.Time, row *request, state requestState) {
	row.state = state
	row.endedAt = now
	w.heldBytes += int64(row.bytes)
	w.held = append(w.held, row)
	holder := w.account(row.account)
	holder.running--
	w.dropIdleAccount(holder)
}

// seal lets readers see the end of the answer.
func (w *World) seal(row *request, reason string, crashed bool) {
	w.pendingSeal = append(w.pendingSeal, Seal{
		ID:      row.id,
		State:   row.wireState(),
		Reason:  reason,
		Crashed: crashed,
		Cost:    uint64(row.charged),
	})
}

// takeAcknowledge drops answers that have been delivered to their callers.
func (w *World) takeAcknowledge(now time.Time, in Acknowledge) {
	for _, id := range in.IDs {
		row := w.requests.Get(id)
		if row != nil && row.ended() {
			w.release(now, row)
		}
	}
}

// takeDelivered notes that an answer was written out whole at least once.
func (w *World) takeDelivered(now time.Time, in Delivered) {
	if row := w.requests.Get(in.ID); row != nil {
		row.delivered = true
		row.deliveredAt = now
	}
}

// release drops an answer and remembers only how its request ended.
func (w *World) release(now time.Time, row *request) {
	w.heldBytes -= int64(row.bytes)
	w.held = slices.DeleteFunc(w.held, func(r *request) bool { return r == row })
	w.requests.Delete(row.id)
	if row.state == stateFenced {
		w.ended.put(now, row.id, fateFenced)
	} else {
		w.ended.put(now, row.id, fateRan)
	}
	w.emit(ForgetAnswer{ID: row.id})
}
