package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/backendconn"
	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/streamorigin"
)

// Events of two software versions don't fit together, so a stream goes on only at backend
// servers of the software that began it. Its router knows that; a caller that takes its
// stream up elsewhere names the attempt that began it, and routers keep the software of each
// for one another. Where none knows it, the stream goes on only if there has been no choice.

// StreamOrigins keeps at which software streams began, together with the other routers.
type StreamOrigins interface {
	// RecordOrigin records that a stream began, or goes on, at the software, and that it may
	// be taken up for so long. It does not wait for other routers.
	RecordOrigin(stream streamorigin.Stream, software knowledge.SoftwareID, lasts time.Duration)
	// FindOrigin returns where a stream began, false if no router that can be reached knows. It
	// waits for other routers for some hundred milliseconds at most.
	FindOrigin(ctx context.Context, stream streamorigin.Stream) (streamorigin.Origin, bool)
}

const (
	// takeUpTime is how long after its last event, and after the end of the caller's
	// deadline, a stream may be taken up.
	takeUpTime = 30 * time.Second
	// maxOriginListAge is the age of the list of backend servers up to which a router may
	// conclude that there is one software version only.
	maxOriginListAge = 3 * time.Second
	// maxListWait bounds the wait for a current list, from when the caller came. Callers give up
	// on a stream after two seconds without an event.
	maxListWait = 1500 * time.Millisecond
)

// ownOrigins implements StreamOrigins for a router that knows no others.
type ownOrigins struct{ table *streamorigin.Table }

// RecordOrigin implements StreamOrigins.
func (o ownOrigins) RecordOrigin(stream streamorigin.Stream, software knowledge.SoftwareID, lasts time.Duration) {
	now := boottime.Now()
	o.table.Set(stream, streamorigin.Origin{Software: software, Until: now.Add(lasts)}, now)
}

// FindOrigin implements StreamOrigins.
func (o ownOrigins) FindOrigin(_ context.Context, stream streamorigin.Stream) (streamorigin.Origin, bool) {
	return o.table.Find(stream, boottime.Now())
}

// resumable reports whether the request is for a stream that can be taken up.
func (r *Request) resumable() bool { return r.Route.Stream && r.Route.Repeat == knowledge.RepeatResume }

// takenUp reports whether the caller takes up a stream of which it has received events.
func (r *Request) takenUp() bool {
	return r.LastEventID != "" && r.resumable()
}

// stream returns the stream that the request begins, or that its caller takes up.
func (r *Request) stream() streamorigin.Stream {
	if r.takenUp() && r.Resumes != "" {
		return streamorigin.StreamOf(r.Resumes)
	}
	return streamorigin.StreamOf(r.ID)
}

// countStream counts a request for a stream that can be taken up; began says that its first event
// has come, rather than the request.
func (h *handler) countStream(request *Request, began bool) {
	if !request.resumable() {
		return
	}
	h.requestLog.counts.addStream(request, began)
	h.metrics.streamRequest(request.takenUp(), began)
}

// originTime returns how long the request's stream may be taken up from now on.
func (r *Request) originTime(now boottime.Instant) time.Duration {
	return min(max(r.Remaining(now), r.Deadline-now.Sub(r.Received), 0)+takeUpTime, streamorigin.MaxTime)
}

// OriginKnown says how it is known at which software a stream began. Its values are those of
// the metric's label.
type OriginKnown string

// How an origin is known.
const (
	OriginRecorded OriginKnown = "recorded" // a router has the record
	OriginStored   OriginKnown = "stored"   // the record of a process that has ended since
	OriginOnly     OriginKnown = "only"     // no other software could have begun it
	OriginUnknown  OriginKnown = "unknown"
	// OriginUncertain means that its server may have started again, with another version, before.
	OriginUncertain OriginKnown = "uncertain"
)

// resolveOrigin directs a request whose caller takes up a stream to the software that began
// it, or returns a refusal.
func (h *handler) resolveOrigin(ctx context.Context, request *Request) *Refusal {
	if !request.takenUp() {
		return nil
	}
	h.confirmStreams() // the caller may come before the next check
	software, known := FindOrigin(ctx, h.streams, h.state, request)
	h.metrics.streamTakenUp(known)
	request.OriginKnown = known
	if software == 0 {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonUnknownStream, RetryAfter: h.admission.retryAfter(request)}
	}
	request.Software = software
	// A route may be split between services.
	view := h.state.View()
	for _, service := range request.Route.Services() {
		if view.HasSoftware(service, software) {
			request.Service = service
		}
	}
	return nil
}

// FindOrigin returns the software at which a stream goes on that the request's caller takes up,
// 0 if that is unknown. It asks other routers, by streams, and waits for them for some hundred
// milliseconds at most. Where none knows, it waits for a current list of backend servers, for
// maxListWait at most.
func FindOrigin(ctx context.Context, streams StreamOrigins, state *knowledge.State, request *Request) (knowledge.SoftwareID, OriginKnown) {
	if request.Resumes != "" {
		if origin, known := streams.FindOrigin(ctx, streamorigin.StreamOf(request.Resumes)); known {
			return origin.Software, knownBy(origin)
		}
	}
	only := func() knowledge.SoftwareID {
		window := max(request.Route.Timeout, request.Deadline) + takeUpTime
		return state.View().OnlySoftware(request.Route.Services(), window, maxOriginListAge, boottime.Now())
	}
	if only() == 0 {
		return 0, OriginUnknown
	}
	// A version that this router has not seen yet may have begun the stream, but none that was
	// first listed after the caller came.
	ctx, cancel := context.WithTimeout(ctx, maxListWait-boottime.Now().Sub(request.Received))
	defer cancel()
	if state.AwaitList(ctx, request.Received) {
		if software := only(); software != 0 {
			return software, OriginOnly
		}
	}
	return 0, OriginUnknown
}

// onRecord reports whether there is a record that the stream began.
func (k OriginKnown) onRecord() bool { return k == OriginRecorded || k == OriginStored }

// knownBy returns how an origin is known that was found.
func knownBy(origin streamorigin.Origin) OriginKnown {
	switch {
	case origin.Software == streamorigin.Uncertain:
		return OriginUncertain
	case origin.Stored:
		return OriginStored
	}
	return OriginRecorded
}

// OriginsDecide reports whether streams that can be taken up may have begun at several software
// versions, as far as the router can tell, so that a stream without a record can't go on.
func OriginsDecide(view *knowledge.View, now boottime.Instant) bool {
	if view.Index == nil {
		return false
	}
	return lo.SomeBy(view.Index.Configuration.Routes, func(route knowledge.Route) bool {
		return route.Stream && route.Repeat == knowledge.RepeatResume &&
			view.OnlySoftware(route.Services(), route.Timeout+takeUpTime, maxOriginListAge, now) == 0
	})
}

// certaintyOf returns how the pool finds out whether the software of a backend server is the listed
// one. With an overdue list, the server may have started again under its ID with another version.
func certaintyOf(state *knowledge.State, dialect Dialect, metrics *metrics) backendconn.Certainty {
	return backendconn.Certainty{
		ListedAt: func() boottime.Instant { return state.View().ProcessesListedAt(boottime.Now()) },
		Probe: func(address fleet.Address) *backendconn.Request {
			return &backendconn.Request{
				Method: http.MethodGet,
				URI:    dialect.ProbePath(),
				Host:   string(address),
				Match: func(header http.Header) backendconn.Match {
					if reply := dialect.Reply(0, header); reply.ID != "" || reply.Draining {
						return backendconn.MatchOther // a late answer, or the last ones of a process
					}
					return backendconn.MatchOwn
				},
			}
		},
		Probed: metrics.probed,
	}
}

// mayBeOtherVersion reports whether the backend server at which a request was placed is listed with
// another version meanwhile: it may have started again before the request was sent.
func (h *handler) mayBeOtherVersion(backend *knowledge.Backend) bool {
	view := h.state.View()
	current := view.Backends[backend.ID]
	return current != nil && view.SoftwareID(current) != view.SoftwareID(backend)
}

// recordOrigin records the software of the backend server that is about to begin the request's
// stream, or to go on with one that the caller takes up, and keeps the request there.
func (h *handler) recordOrigin(request *Request, backend *knowledge.Backend, answer *backendconn.Answer) {
	if request.Route.Repeat != knowledge.RepeatResume {
		return
	}
	stream, now := request.stream(), boottime.Now()
	lasts := request.originTime(now)
	if request.Software == 0 {
		view := h.state.View()
		software := view.SoftwareID(backend)
		request.Software = software
		switch {
		case h.mayBeOtherVersion(backend):
			request.Software = streamorigin.Uncertain
		case !answer.Certain():
			request.Software = streamorigin.Uncertain
			h.metrics.streamUncertain()
			h.unconfirmed.add(unconfirmedStream{
				stream: stream, backend: backend, software: software, process: answer.Process(),
				listedAt: view.ProcessesListedAt(now), began: now, until: now.Add(lasts),
			})
		}
	}
	h.streams.RecordOrigin(stream, request.Software, lasts)
}
