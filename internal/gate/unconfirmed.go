package gate

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/backendconn"
	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/streamorigin"
)

const (
	// confirmInterval is the interval at which it is checked whether the versions of uncertain
	// streams have become known.
	confirmInterval = 100 * time.Millisecond
	// maxUnconfirmed bounds the streams that wait for that. Further ones can't be taken up.
	maxUnconfirmed = 1 << 13
)

// unconfirmedStream is a stream that began at a backend server which may have started again, with
// another version, since it was listed.
type unconfirmedStream struct {
	stream   streamorigin.Stream
	backend  *knowledge.Backend
	software knowledge.SoftwareID // of the entry
	process  backendconn.Process  // that began it
	listedAt boottime.Instant     // as of when the entry told the process, 0 if it told the current one
	began    boottime.Instant
	until    boottime.Instant // the stream can't be taken up afterwards
}

// unconfirmedStreams are the streams whose version a later list, or a later answer of the same
// process, may confirm. Its methods may be called concurrently.
type unconfirmedStreams struct {
	mu      sync.Mutex
	streams []unconfirmedStream
}

// add adds a stream, unless too many wait.
func (u *unconfirmedStreams) add(stream unconfirmedStream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.streams) < maxUnconfirmed {
		u.streams = append(u.streams, stream)
	}
}

// confirm removes the streams of which the list tells, and returns those whose server has not started
// again. A list tells of a stream if it was complete after the stream began, and if entries of
// processes that have ended have been replaced. Streams whose process has served since before it was
// listed are confirmed without a later list; served, if not nil, reports whether it has.
func (u *unconfirmedStreams) confirm(view *knowledge.View, now boottime.Instant, served func(backendconn.Process, boottime.Instant) bool) []unconfirmedStream {
	u.mu.Lock()
	defer u.mu.Unlock()
	listTells := view.ProcessesListedAt(now) == 0
	if len(u.streams) == 0 || !listTells && served == nil {
		return nil
	}
	var confirmed []unconfirmedStream
	waiting := u.streams[:0]
	for _, stream := range u.streams {
		switch {
		case stream.until <= now:
		case listTells && view.ListConfirmedAt > stream.began:
			current := view.Backends[stream.backend.ID]
			if current != nil && view.SoftwareID(current) == stream.software && view.SameProcess(stream.backend, current) {
				confirmed = append(confirmed, stream)
			}
		case served != nil && stream.listedAt != 0 && served(stream.process, stream.listedAt):
			confirmed = append(confirmed, stream)
		default:
			waiting = append(waiting, stream)
		}
	}
	clear(u.streams[len(waiting):])
	u.streams = waiting
	return confirmed
}

// confirmStreams records the versions of streams that a later list confirms.
func (h *handler) confirmStreams() { h.recordConfirmed(nil) }

// confirmByProcess also records those of streams whose process has served since it was listed.
func (h *handler) confirmByProcess() { h.recordConfirmed(h.pool.ServedSince) }

func (h *handler) recordConfirmed(served func(backendconn.Process, boottime.Instant) bool) {
	now := boottime.Now()
	for _, stream := range h.unconfirmed.confirm(h.state.View(), now, served) {
		h.metrics.streamConfirmed()
		h.streams.RecordOrigin(stream.stream, stream.software, stream.until.Sub(now))
	}
}

// confirmSoftware directs the request's stream, which this router is about to resume, to the version
// that a later list has confirmed, if there is one.
func (r *relay) confirmSoftware(ctx context.Context) {
	if r.request.Software != streamorigin.Uncertain {
		return
	}
	r.handler.confirmByProcess()
	origin, known := r.handler.streams.FindOrigin(ctx, r.request.stream())
	if known && origin.Software != streamorigin.Ambiguous {
		r.request.Software = origin.Software
	}
}
