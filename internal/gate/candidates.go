package gate

import (
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// sound returns the backend servers of the service that may take a request.
// Shunned ones are among them only when there is no other, closed ones never.
func (a *admission) sound(view *knowledge.View, service fleet.Service, excluded map[string]bool, now boottime.Instant) []*knowledge.Backend {
	serving := view.Serving[service]
	shunned := a.loads.shunnedNow(now)
	closed := a.unavailable.at(now)
	if len(excluded)+len(view.MissingSince)+len(shunned)+len(closed) == 0 {
		return serving
	}
	sound := make([]*knowledge.Backend, 0, len(serving))
	var last []*knowledge.Backend
	for _, backend := range serving {
		if excluded[backend.ID] || closed[backend.Incarnation] != 0 {
			continue
		}
		if _, absent := view.MissingSince[backend.ID]; absent || shunned[backend.Incarnation] {
			last = append(last, backend)
			continue
		}
		sound = append(sound, backend)
	}
	if len(sound) > 0 {
		return sound
	}
	return last
}

// refuseAll refuses a request for which no backend server is usable, when so many are
// sound. While all are closed, callers that come back before the first one opens again
// would be refused again; they do not all come back at that very moment.
func (a *admission) refuseAll(request *Request, view *knowledge.View, sound int, now boottime.Instant) *Refusal {
	refusal := a.refuse(request, whyNone(view, request.Service, sound))
	if refusal.Reason != ReasonNoBackend {
		return refusal
	}
	if opens := a.opens(view, request.Service, now); opens != 0 {
		refusal.Reason = ReasonClosed
		refusal.RetryAfter += opens.Sub(now)
	}
	return refusal
}

// opens returns when the first closed backend server of the service takes requests again,
// 0 if none will or one that is not closed is there.
func (a *admission) opens(view *knowledge.View, service fleet.Service, now boottime.Instant) boottime.Instant {
	closed := a.unavailable.at(now)
	first := indefinitely
	for _, backend := range view.Serving[service] {
		until, isClosed := closed[backend.Incarnation]
		if !isClosed {
			return 0
		}
		first = min(first, until)
	}
	if first == indefinitely {
		return 0
	}
	return first
}

// whyNone returns why no backend server of the service may take a request, when so
// many are sound.
func whyNone(view *knowledge.View, service fleet.Service, sound int) Reason {
	if sound > 0 {
		return ReasonWarming
	}
	evacuated := lo.CountBy(view.ByService[service], func(backend *knowledge.Backend) bool {
		return view.Evacuations.Has(backend.Zone)
	})
	if evacuated > 0 && evacuated == len(view.ByService[service]) {
		return ReasonEvacuated
	}
	return ReasonNoBackend
}
