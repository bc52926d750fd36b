package agent

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// takeDrain begins or ends draining by an operator's order.
func (w *World) takeDrain(in Drain) {
	w.emit(Note{Event: event.DrainOrdered, Detail: in.Operator + ": " + in.Reason})
	w.setLeaving(&w.drained, !in.Undo)
	w.reply(in.Ticket, DrainState{Running: uint32(w.running + len(w.queue))})
}

// setLeaving sets one of the reasons for which the agent takes no new work.
//
// From the first reason on nothing is admitted: grants are withdrawn, so that
// a dispatch which is on its way is refused as not run, and offers are
// dropped. What was admitted runs to its end and its answer stays held.
func (w *World) setLeaving(reason *bool, value bool) {
	before := w.leaving()
	*reason = value
	if before == w.leaving() {
		return
	}
	if !w.leaving() {
		w.emit(Note{Event: event.AgentAcceptsWork})
		return
	}
	w.emit(Note{Event: event.AgentDraining})
	w.grants.Each(func(number uint64, _ *grant) { w.endGrant(number) })
	w.routers.Each(func(_ fleet.Address, row *router) { w.dropOffers(row) })
}

// deliveredGrace is the time for which an answer that was written out whole is
// kept at the end of the process, for a router that lost the connection.
const deliveredGrace = 2 * time.Second

// reportIdle tells the shell of an agent that was asked to end that nothing is
// left to do: no request runs and no answer waits for its router.
func (w *World) reportIdle(now time.Time) {
	if !w.stopping || w.running > 0 || len(w.queue) > 0 {
		return
	}
	for _, row := range w.held {
		if !row.delivered || now.Sub(row.deliveredAt) < deliveredGrace {
			return
		}
	}
	w.emit(Idle{})
}
