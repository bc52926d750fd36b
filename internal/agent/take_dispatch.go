package agent

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fairshare"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// Times after which a router may try again, by the reason of the refusal.
const (
	retryNoSlot      = 100 * time.Millisecond
	retryBackendDown = time.Second
	retryTableFull   = MinEndedLife
	retrySuspect     = time.Second
)

// takeDispatch admits or refuses a request. A refusal is final for this
// dispatch: nothing of it stays here that could run later.
func (w *World) takeDispatch(now time.Time, in Dispatch) {
	w.noteRouter(now, in.Router, in.RouterIncarnation)
	granted := w.consumeGrant(now, in)
	if granted {
		defer w.endGrant(in.Grant)
	}
	if reason := w.forbids(now, in); reason != rpc.RefusalReason_REFUSAL_REASON_UNSPECIFIED {
		w.refuse(now, in, reason, retryAfter(reason))
		return
	}
	if w.ended.full(now) {
		w.refuse(now, in, rpc.RefusalReason_REFUSAL_REASON_NO_SLOT, retryTableFull)
		return
	}
	if in.Grant != 0 && !granted {
		w.refuse(now, in, rpc.RefusalReason_REFUSAL_REASON_GRANT_LAPSED, 0)
		return
	}
	if granted && w.isSuspect(in) && w.heldSuspects() >= MaxHeldSuspects {
		w.refuse(now, in, rpc.RefusalReason_REFUSAL_REASON_NO_SLOT, retrySuspect)
		return
	}
	if !w.mayAdmit(in, granted) {
		w.noteWaiting(now, in, in.Waiting+1)
		w.refuse(now, in, rpc.RefusalReason_REFUSAL_REASON_NO_SLOT, retryNoSlot)
		return
	}
	w.noteWaiting(now, in, in.Waiting)
	w.admit(now, in)
}

// forbids returns the reason for which the request must not run here whatever
// the load, or REFUSAL_REASON_UNSPECIFIED.
func (w *World) forbids(now time.Time, in Dispatch) rpc.RefusalReason {
	if known := w.requests.Get(in.ID); known != nil {
		if known.state == stateFenced {
			return rpc.RefusalReason_REFUSAL_REASON_FENCED
		}
		return rpc.RefusalReason_REFUSAL_REASON_DUPLICATE
	}
	switch w.ended.get(in.ID) {
	case fateFenced:
		return rpc.RefusalReason_REFUSAL_REASON_FENCED
	case fateRan:
		return rpc.RefusalReason_REFUSAL_REASON_DUPLICATE
	}
	switch {
	case in.Service != w.self.Service:
		return rpc.RefusalReason_REFUSAL_REASON_WRONG_SERVICE
	case w.leaving():
		return rpc.RefusalReason_REFUSAL_REASON_LEAVING
	case !now.Before(in.Deadline):
		return rpc.RefusalReason_REFUSAL_REASON_DEADLINE
	case w.crash.convicted(in.Fingerprint, now):
		return rpc.RefusalReason_REFUSAL_REASON_CONVICTED
	case !w.backendUp:
		return rpc.RefusalReason_REFUSAL_REASON_BACKEND_DOWN
	}
	return rpc.RefusalReason_REFUSAL_REASON_UNSPECIFIED
}

func retryAfter(reason rpc.RefusalReason) time.Duration {
	if reason == rpc.RefusalReason_REFUSAL_REASON_BACKEND_DOWN {
		return retryBackendDown
	}
	return 0
}

// mayAdmit tells whether the request may take a slot now.
//
// A dispatch without a grant may be a delayed copy of one that was refused, or
// of one that ran before this agent's start or has been forgotten since. It is
// not run, but noted as an offer; the grant that follows has a number that no
// copy from before can carry.
func (w *World) mayAdmit(in Dispatch, granted bool) bool {
	if granted {
		return true
	}
	if !w.ended.isNew(in.ID, in.Attempt) {
		return false
	}
	if w.isSuspect(in) && w.suspectInFlight() {
		return false
	}
	return w.free() > 0 && !w.offersComeFirst(in) && w.heldRoom()
}

// admit records the request. It runs as soon as a slot is free, which for all
// but dispatches on grants ahead is in this step.
func (w *World) admit(now time.Time, in Dispatch) {
	r := &request{
		id:          in.ID,
		account:     in.Account,
		router:      in.Router,
		deadline:    in.Deadline,
		fingerprint: in.Fingerprint,
		suspect:     w.isSuspect(in),
		state:       stateQueued,
		key:         in.Key,
		idempotent:  in.Idempotent,
		attempt:     in.Attempt,
		unconfirmed: in.Guards,
	}
	w.requests.Put(r.id, r)
	w.queue = append(w.queue, r)
	if !w.clocks.Move(grantID(in.Grant), r.id) {
		w.clocks.Begin(r.id, r.account, fairshare.Hint{Prompt: fairshare.Units(in.EstimatedCost)})
	}
	w.account(r.account).running++
	w.endGrant(in.Grant)
	w.reply(in.Ticket, Admitted{FreeSlots: uint32(w.free())})
	w.confirmKey(now, r)
}
