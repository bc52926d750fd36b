package agent

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

const reasonKeyLost = "another request holds the idempotency key, or a guard did not answer"

// takeClaim answers a claim or a release. When a key is contested, the router
// of the request that holds it is asked for a sign of life.
func (w *World) takeClaim(now time.Time, in Claim) {
	if in.Release {
		w.guard.release(in)
		w.reply(in.Ticket, ClaimState{Result: rpc.ClaimResult_CLAIM_RESULT_GRANTED})
		return
	}
	state := w.guard.claim(now, in, w.routerGone)
	if state.Result == rpc.ClaimResult_CLAIM_RESULT_HELD && state.RunningAt == "" {
		address, incarnation := w.guard.routerOf(in)
		w.probe(now, address, incarnation)
	}
	w.reply(in.Ticket, state)
}

// routerGone tells whether an incarnation of a router has ended, as far as is
// known: it did not answer the last question, or a later one was heard. Of a
// router that is not known there is no sign of life to wait for.
func (w *World) routerGone(address fleet.Address, incarnation uint64) bool {
	if address == "" {
		return true
	}
	row := w.routers.Get(address)
	return row != nil && (row.silent || row.incarnation > incarnation)
}

// probe asks a router for a sign of life, at most once in MinAskInterval.
func (w *World) probe(now time.Time, address fleet.Address, incarnation uint64) {
	if now.Before(w.probeAfter) || address == "" {
		return
	}
	if row := w.routers.Get(address); row == nil {
		w.noteRouter(now, address, incarnation)
	}
	w.probeAfter = now.Add(MinAskInterval)
	w.emit(AskRouter{Router: address, FreeSlots: uint32(w.free())})
}

// confirmKey asks the next guard of a request's key whether the request still
// holds it. Its slot is kept meanwhile; that costs a round trip for requests
// with a key only.
func (w *World) confirmKey(now time.Time, row *request) {
	for len(row.unconfirmed) > 0 && row.state == stateQueued {
		guard := row.unconfirmed[0]
		if guard != w.self.Control {
			w.emit(ConfirmKey{ID: row.id, Guard: guard, Account: row.account, Key: row.key, Attempt: row.attempt})
			return
		}
		state := w.guard.claim(now, Claim{
			Router:      w.self.Control,
			Incarnation: w.self.Incarnation,
			Account:     row.account,
			Key:         row.key,
			ID:          row.id,
			RunningAt:   w.self.Data,
			Attempt:     row.attempt,
		}, w.routerGone)
		w.takeKeyConfirmed(now, KeyConfirmed{
			ID:    row.id,
			Guard: guard,
			Holds: state.Result != rpc.ClaimResult_CLAIM_RESULT_HELD,
		})
	}
}

// takeKeyConfirmed goes on with the next guard, or ends the request when it
// has lost its key. A request that may run twice does not wait for a guard
// that is cut off.
func (w *World) takeKeyConfirmed(now time.Time, in KeyConfirmed) {
	row := w.requests.Get(in.ID)
	if row == nil || row.state != stateQueued || len(row.unconfirmed) == 0 || row.unconfirmed[0] != in.Guard {
		return
	}
	if !in.Holds && !(in.Failed && row.idempotent) {
		w.endWithoutRun(now, row, reasonKeyLost)
		return
	}
	row.unconfirmed = row.unconfirmed[1:]
	if in.Guard != w.self.Control {
		w.confirmKey(now, row)
	}
}
