package agent

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// expire ends what has outlived its time: leases and deadlines at each step,
// the large tables once in SweepInterval.
func (w *World) expire(now time.Time) {
	w.expireGrants(now)
	w.expireQueued(now)
	if !w.heldRoom() {
		w.expireAnswers(now)
	}
	if now.Before(w.nextSweep) {
		return
	}
	w.nextSweep = now.Add(SweepInterval)
	w.expireRunning(now)
	w.expireAnswers(now)
	w.expireRouters(now)
	w.ended.expire(now)
	w.crash.expire(now)
	w.guard.expire(now)
	w.noteHeldFull()
}

// expireGrants takes back slots that were granted and not used. A router that
// lets a lease lapse without a word is paused or cut off; its offers go too,
// else each slot would stand idle for one lease after the other.
//
// A router that is heard of meanwhile did not get the grant, or too late: it
// rode on a connection that is broken, or that the router leaves unread because
// its caller is slow. The router does not know that its request counts as
// granted here, so it is asked for its offers again. As the next connection may
// be no better, it gets calls for a while: so a slow caller can idle no slot for
// more than one lease in GrantCallTime.
func (w *World) expireGrants(now time.Time) {
	w.grants.Each(func(number uint64, g *grant) {
		if now.Before(g.lapsesAt) {
			return
		}
		w.endGrant(number)
		row := w.routers.Get(g.router)
		if row == nil {
			return
		}
		row.callUntil = now.Add(GrantCallTime)
		w.planRecall(now, row)
		if !row.heardAt.After(g.sentAt) {
			w.emit(Note{Event: event.GrantLapsed, Peer: row.address})
			w.forgetOffers(now, row)
		}
	})
}

// expireQueued ends admitted requests that can't begin before their deadlines.
func (w *World) expireQueued(now time.Time) {
	for _, row := range w.pastDeadline(now) {
		w.endWithoutRun(now, row, reasonDeadline)
	}
}

func (w *World) pastDeadline(now time.Time) []*request {
	var late []*request
	for _, row := range w.queue {
		if !now.Before(row.deadline) {
			late = append(late, row)
		}
	}
	return late
}

// expireRunning stops runs that outlive their deadline: the caller has been
// told by then, and the slot serves others.
func (w *World) expireRunning(now time.Time) {
	w.requests.Each(func(_ fleet.RequestID, row *request) {
		if row.state == stateRunning && now.After(row.deadline) {
			w.cancel(now, row, reasonDeadline)
		}
	})
}

// expireAnswers drops answers that nobody has acknowledged in time, and when
// too much is held those that were written out whole, oldest first. An answer
// that nobody has read yet is dropped for its age only.
func (w *World) expireAnswers(now time.Time) {
	for _, row := range append([]*request(nil), w.held...) {
		old := now.Sub(row.endedAt) >= w.policy.AnswerRetention
		surplus := !w.heldRoom() && row.delivered
		if old || surplus {
			w.emit(Note{Event: event.AnswerDropped, Request: row.id, Peer: row.router})
			w.release(now, row)
		}
	}
}

// expireRouters drops offers that their routers have not refreshed.
func (w *World) expireRouters(now time.Time) {
	w.routers.Each(func(address fleet.Address, row *router) {
		for _, current := range row.offers {
			if now.Sub(current.refreshedAt) >= OfferLife {
				w.dropOffer(current)
			}
		}
		if len(row.offers) == 0 && now.Sub(row.heardAt) >= 2*OfferLife {
			w.routers.Delete(address)
		}
	})
}

// noteHeldFull tells operators when unacknowledged answers keep slots idle.
func (w *World) noteHeldFull() {
	full := !w.heldRoom()
	if full && !w.heldFull {
		w.emit(Note{Event: event.HeldAnswersFull})
	}
	w.heldFull = full
}
