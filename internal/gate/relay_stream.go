package gate

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/backendconn"
	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// streamState is what the caller has of a stream.
type streamState struct {
	started   bool
	lastEvent string // id of the last event handed out, "" for none
}

const (
	// streamBuffer is how much of a stream is read at once.
	streamBuffer = 8 << 10
	// eventMost bounds one event of a stream.
	eventMost = 1 << 20
)

// errEventTooLong ends a stream whose event would not fit into memory.
var errEventTooLong = errors.New("an event of the stream is too long")

// relayStream hands on a stream event by event. Only whole events are handed
// on: one that breaks off can then be made again by another backend server.
func (r *run) relayStream(ctx context.Context, placed *placement, answer *backendconn.Answer, reply Reply, sent boottime.Instant) verdict {
	h := r.handler
	if !reply.sound(r.request) {
		h.records.badAnswer(r.request, placed.backend, answer.Status)
		h.admission.loads.answered(placed.backend.Incarnation, false, 0)
		return verdictBroken
	}
	buffer := make([]byte, streamBuffer)
	var partial []byte
	pace := newStreamPace(r.request)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			now := boottime.Now()
			h.heard(placed.backend, sent, now)
			if pace.note(now) {
				h.admission.began(r.request, placed, now.Sub(sent))
				h.metrics.firstEvent(now.Sub(r.request.Received))
			}
			partial = append(partial, buffer[:n]...)
			if !r.handOut(answer, &partial) {
				return r.callerGone()
			}
		}
		if err == io.EOF {
			if !h.lag.busy(boottime.Now()) {
				h.admission.delivered(r.request.Service, placed, pace.late)
			}
			return r.endStream(placed, answer, partial, pace.late)
		}
		if err == nil && len(partial) > eventMost {
			err = errEventTooLong
		}
		if err != nil {
			return r.answerFailed(ctx, placed, sent, err)
		}
	}
}

// handOut writes the whole events of the partial data and keeps the rest. It
// returns false when the caller can't be reached.
func (r *run) handOut(answer *backendconn.Answer, partial *[]byte) bool {
	end := lastEventEnd(*partial)
	if end == 0 {
		return true
	}
	events := (*partial)[:end]
	if id := lastEventID(events); id != "" {
		r.stream.lastEvent = id
	}
	r.startStream(answer)
	if _, err := r.writer.Write(events); err != nil {
		return false
	}
	if err := http.NewResponseController(r.writer).Flush(); err != nil {
		return false
	}
	*partial = append((*partial)[:0], (*partial)[end:]...)
	return true
}

// startStream writes the head of the answer, once: a stream that goes on at
// another backend server keeps its first head.
func (r *run) startStream(answer *backendconn.Answer) {
	if r.stream.started {
		return
	}
	r.stream.started = true
	maps.Copy(r.writer.Header(), fleet.EndToEnd(answer.Header))
	r.handler.writeHead(r.writer, answer.Status)
}

// endStream ends a stream that its backend server has ended whole.
func (r *run) endStream(placed *placement, answer *backendconn.Answer, rest []byte, late bool) verdict {
	r.startStream(answer)
	if len(rest) > 0 {
		// Bytes after the last event belong to the body as well.
		if _, err := r.writer.Write(rest); err != nil {
			return r.callerGone()
		}
	}
	r.handler.admission.loads.answered(placed.backend.Incarnation, true, 0)
	r.handler.records.answered(r.request, placed, answer.Status, r.sends, late, nil)
	r.handler.metrics.answered(answer.Status)
	return verdictDone
}

// callerGone ends a request whose caller has left. The connection ends with it: the server
// would make a success of a request that returns without an answer.
func (r *run) callerGone() verdict {
	r.handler.records.callerGone(r.request)
	panic(http.ErrAbortHandler)
}

// eventSeparator ends an event.
var eventSeparator = []byte("\n\n")

// lastEventEnd returns the length of the whole events at the start of data.
func lastEventEnd(data []byte) int {
	at := bytes.LastIndex(data, eventSeparator)
	if at < 0 {
		return 0
	}
	return at + len(eventSeparator)
}

// lastEventID returns the id of the last event that has one, or "".
func lastEventID(events []byte) string {
	const field = "id:"
	at := bytes.LastIndex(events, []byte("\n"+field))
	switch {
	case at >= 0:
		at += 1 + len(field)
	case bytes.HasPrefix(events, []byte(field)):
		at = len(field)
	default:
		return ""
	}
	line, _, _ := bytes.Cut(events[at:], []byte("\n"))
	return strings.TrimSpace(string(line))
}
