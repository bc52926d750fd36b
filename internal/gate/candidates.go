package gate

import (
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// candidates returns the backend servers of the service that may take a request.
// Shunned ones are among them only when there is no other, closed ones never.
func (a *admission) candidates(view *knowledge.View, service fleet.Service, excluded map[string]bool, now boottime.Instant) []*knowledge.Backend {
	serving := view.Serving[service]
	shunned := a.loads.ejectedAt(now)
	unavailable := a.unavailable.at(now)
	if len(excluded)+len(view.MissingSince)+len(shunned)+len(unavailable) == 0 {
		return serving
	}
	candidates := make([]*knowledge.Backend, 0, len(serving))
	var fallback []*knowledge.Backend
	for _, backend := range serving {
		if excluded[backend.ID] || unavailable[backend.Incarnation] != 0 {
			continue
		}
		if _, absent := view.MissingSince[backend.ID]; absent || shunned[backend.Incarnation] {
			fallback = append(fallback, backend)
			continue
		}
		candidates = append(candidates, backend)
	}
	if len(candidates) > 0 {
		return candidates
	}
	return fallback
}

// refuseAll refuses a request for which no backend server is usable, when so many are
// sound. While all are closed, callers that come back before the first one opens again
// would be refused again; they do not all come back at that very moment.
func (a *admission) refuseAll(request *Request, view *knowledge.View, candidates int, now boottime.Instant) *Refusal {
	refusal := a.refuse(request, noBackendReason(view, request.Service, candidates))
	if refusal.Reason != ReasonNoBackend {
		return refusal
	}
	if available := a.availableAt(view, request.Service, now); available != 0 {
		refusal.Reason = ReasonClosed
		refusal.RetryAfter += available.Sub(now)
	}
	return refusal
}

// availableAt returns when the first closed backend server of the service takes requests again,
// 0 if none will or one that is not closed is there.
func (a *admission) availableAt(view *knowledge.View, service fleet.Service, now boottime.Instant) boottime.Instant {
	unavailable := a.unavailable.at(now)
	first := indefinitely
	for _, backend := range view.Serving[service] {
		until, isUnavailable := unavailable[backend.Incarnation]
		if !isUnavailable {
			return 0
		}
		first = min(first, until)
	}
	if first == indefinitely {
		return 0
	}
	return first
}

// noBackendReason returns why no backend server of the service may take a request, when so
// many are sound.
func noBackendReason(view *knowledge.View, service fleet.Service, candidates int) Reason {
	if candidates > 0 {
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
