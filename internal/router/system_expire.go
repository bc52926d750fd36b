package router

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// runExpiry refuses waiting requests whose deadline has passed and gives up
// those in flight. It runs once per sweepInterval, because a look at every
// queue at every tick would cost more than the ticks themselves.
func (w *World) runExpiry(now time.Time) {
	if now.Before(w.sweepAt) {
		return
	}
	w.sweepAt = now.Add(sweepInterval)
	w.services.Each(func(_ fleet.Service, service *serviceRow) { w.expireWaiting(service, now) })
	for e := range w.flying {
		if now.Sub(e.request.Deadline) > deadlineGrace {
			w.cancel(e)
			w.answered(e)
			w.finish(e, unknown(statusGatewayTimeout, CodeDeadline, deadlineMessage))
		}
	}
	for e := range w.asking {
		if now.After(e.request.Deadline) {
			w.expireClaim(e)
		}
	}
	w.expireVerdicts(now)
}

// expireClaim ends a request that did not get its key in time. While another
// try with the same key is in progress, that one may still run.
func (w *World) expireClaim(e *entry) {
	if e.claim.held {
		w.releaseKey(e)
		w.finish(e, unknown(statusGatewayTimeout, CodeDeadline, "another try with the same key is still in progress"))
		return
	}
	w.finishNotRun(e, notRun(statusServiceUnavailable, CodeDeadline, "the deadline passed while the key was being claimed", 0))
}

func (w *World) expireWaiting(service *serviceRow, now time.Time) {
	if service.waiting == 0 {
		return
	}
	w.refuseWithoutAgents(service, now)
	for queue := range service.backlog {
		for first := queue.first(); first != nil && now.After(first.request.Deadline); first = queue.first() {
			w.finishNotRun(first, notRun(statusServiceUnavailable, CodeDeadline, "the deadline passed before a backend server was free", w.drainTime(queue)))
		}
	}
}

// refuseWithoutAgents refuses what waits for a service that no agent serves.
// Waiting for the deadline would hold callers back for nothing.
func (w *World) refuseWithoutAgents(service *serviceRow, now time.Time) {
	if service.noneAt.IsZero() || now.Sub(service.noneAt) <= noAgentPatience {
		return
	}
	for queue := range service.backlog {
		for first := queue.first(); first != nil; first = queue.first() {
			w.finishNotRun(first, notRun(statusServiceUnavailable, CodeNoBackend, "no backend server of the service is known", noAgentPatience))
		}
	}
}
