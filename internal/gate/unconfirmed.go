package gate

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/streamorigin"
)

const (
	// confirmInterval is the interval at which streams of uncertain version are compared with a
	// later list.
	confirmInterval = 100 * time.Millisecond
	// maxUnconfirmed bounds the streams that wait for one. Further ones can't be taken up.
	maxUnconfirmed = 1 << 13
)

// unconfirmedStream is a stream that began at a backend server which may have started again, with
// another version, since it was listed.
type unconfirmedStream struct {
	stream   streamorigin.Stream
	backend  *knowledge.Backend
	software knowledge.SoftwareID // of the entry
	began    boottime.Instant
	until    boottime.Instant // the stream can't be taken up afterwards
}

// unconfirmedStreams are the streams whose version a later list may confirm. Its methods may be
// called concurrently.
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
// processes that have ended have been replaced.
func (u *unconfirmedStreams) confirm(view *knowledge.View, now boottime.Instant) []unconfirmedStream {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.streams) == 0 || view.ProcessesListedAt(now) != 0 {
		return nil
	}
	var confirmed []unconfirmedStream
	waiting := u.streams[:0]
	for _, stream := range u.streams {
		current := view.Backends[stream.backend.ID]
		switch {
		case stream.until <= now:
		case view.ListConfirmedAt <= stream.began:
			waiting = append(waiting, stream)
		case current != nil && current.Incarnation == stream.backend.Incarnation && view.SoftwareID(current) == stream.software:
			confirmed = append(confirmed, stream)
		}
	}
	clear(u.streams[len(waiting):])
	u.streams = waiting
	return confirmed
}

// confirmStreams records the versions of streams that a later list confirms.
func (h *handler) confirmStreams() {
	now := boottime.Now()
	for _, stream := range h.unconfirmed.confirm(h.state.View(), now) {
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
	r.handler.confirmStreams()
	origin, known := r.handler.streams.FindOrigin(ctx, r.request.stream())
	if known && origin.Software != streamorigin.Ambiguous {
		r.request.Software = origin.Software
	}
}
