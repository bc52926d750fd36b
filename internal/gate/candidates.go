package gate

import (
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/streamorigin"
)

// candidates returns the backend servers of the request's service that may take it. For a stream
// that goes on, they are those of the software that began it. Ejected ones and those missing
// from the list are returned only if there is no other; unavailable ones never are.
func (a *admission) candidates(view *knowledge.View, request *Request, excluded map[string]bool, now boottime.Instant) []*knowledge.Backend {
	serving := a.certainFor(servingFor(view, request), request)
	ejected := a.loads.ejectedAt(now)
	unavailable := a.unavailable.at(now)
	if len(excluded)+len(view.MissingSince)+len(ejected)+len(unavailable) == 0 {
		return serving
	}
	candidates := make([]*knowledge.Backend, 0, len(serving))
	var fallback []*knowledge.Backend
	for _, backend := range serving {
		if excluded[backend.ID] || unavailable[backend.Incarnation] != 0 {
			continue
		}
		if _, missing := view.MissingSince[backend.ID]; missing || ejected[backend.Incarnation] {
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

// servingFor returns the serving backend servers of the request's service that have the
// software which the request needs.
func servingFor(view *knowledge.View, request *Request) []*knowledge.Backend {
	serving := view.Serving[request.Service]
	if request.Software == 0 {
		return serving
	}
	return lo.Filter(serving, func(backend *knowledge.Backend, _ int) bool {
		return view.SoftwareID(backend) == request.Software
	})
}

// certainFor returns those of the backend servers at which a stream may go on that the request's
// caller takes up or that this router resumes. For other requests it returns all.
func (a *admission) certainFor(serving []*knowledge.Backend, request *Request) []*knowledge.Backend {
	if request.Software == 0 {
		return serving
	}
	return lo.Filter(serving, func(backend *knowledge.Backend, _ int) bool { return a.certain(backend) })
}

// certainFirst returns those of the usable backend servers at which a new stream can be taken up
// whatever the list says later, while they have half of their slots free. It returns all if there are
// none, for other requests, and while the list is current.
func (a *admission) certainFirst(request *Request, view *knowledge.View, usable []*knowledge.Backend) []*knowledge.Backend {
	if request.Software != 0 || !request.resumable() || view.ProcessesListedAt(boottime.Now()) == 0 {
		return usable
	}
	certain := lo.Filter(usable, func(backend *knowledge.Backend, _ int) bool {
		load, _ := a.loads.get(backend.Incarnation)
		return 2*(load.Running+a.peers.Load(backend.IncarnationHash).Running) < backend.Slots && a.certain(backend)
	})
	if len(certain) == 0 {
		return usable
	}
	return certain
}

// refuseAll refuses a request for which no backend server is usable, given the number of
// candidates. While all are unavailable, callers that retried before the first one
// accepts requests again would be refused again. The route's usual delay is added to the
// time until then, so that callers do not all retry at that time.
func (a *admission) refuseAll(request *Request, view *knowledge.View, candidates int, now boottime.Instant) *Refusal {
	if request.Software == streamorigin.Uncertain {
		return a.refuse(request, ReasonUncertain)
	}
	if request.Software != 0 && !view.HasSoftware(request.Service, request.Software) {
		return a.refuse(request, ReasonOtherVersion)
	}
	if serving := servingFor(view, request); len(serving) > 0 && len(a.certainFor(serving, request)) == 0 {
		return a.refuse(request, ReasonUncertain)
	}
	refusal := a.refuse(request, noBackendReason(view, request.Service, candidates))
	if refusal.Reason != ReasonNoBackend {
		return refusal
	}
	if available := a.availableAt(servingFor(view, request), now); available != 0 {
		refusal.Reason = ReasonClosed
		refusal.RetryAfter += available.Sub(now)
	}
	return refusal
}

// availableAt returns when the first unavailable one of the backend servers accepts requests
// again. It returns 0 if none will, or if one accepts requests now.
func (a *admission) availableAt(serving []*knowledge.Backend, now boottime.Instant) boottime.Instant {
	unavailable := a.unavailable.at(now)
	first := indefinitely
	for _, backend := range serving {
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

// noBackendReason returns why no backend server of the service may take a request, given
// the number of candidates.
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
