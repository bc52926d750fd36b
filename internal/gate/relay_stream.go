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

// streamState is what the caller has received of a stream.
type streamState struct {
	started     bool
	lastEventID string // id of the last event forwarded, "" for none
}

const (
	// streamBufferBytes is the size of the buffer into which a stream is read.
	streamBufferBytes = 8 << 10
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
)

// errEventTooLong ends a stream with an event larger than maxEventBytes.
var errEventTooLong = errors.New("an event of the stream is too long")

// relayStream forwards a stream event by event. It forwards complete events only, so that
// another backend server can repeat an event that breaks off.
func (r *relay) relayStream(ctx context.Context, placed *placement, answer *backendconn.Answer, reply Reply, sent boottime.Instant) sendOutcome {
	h := r.handler
	if !reply.genuine(r.request) {
		h.requestLog.badAnswer(r.request, placed.backend, answer.Status)
		h.admission.loads.recordAnswer(placed.backend.Incarnation, false, 0)
		return outcomeBroken
	}
	buffer := make([]byte, streamBufferBytes)
	var partial []byte
	timing := newStreamTiming(r.request)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			now := boottime.Now()
			h.dataReceived(placed.backend, sent, now)
			if timing.recordEvent(now) {
				h.admission.recordFirstEvent(r.request, placed, now.Sub(sent))
				h.metrics.firstEvent(now.Sub(r.request.Received))
			}
			partial = append(partial, buffer[:n]...)
			if !r.forwardEvents(answer, &partial) {
				return r.callerDisconnected()
			}
		}
		if err == io.EOF {
			h.metrics.streamEnded(answer.Framing, endOf(partial))
			if !h.lag.busy(boottime.Now()) {
				h.admission.recordStreamEnd(r.request.Service, placed, timing.late)
			}
			return r.finishStream(placed, answer, partial, timing.late)
		}
		if err == nil && len(partial) > maxEventBytes {
			err = errEventTooLong
		}
		if err != nil {
			h.metrics.streamEnded(answer.Framing, endByError)
			return r.answerFailed(ctx, placed, sent, err)
		}
	}
}

// endOf returns where a stream ended that left the partial data.
func endOf(partial []byte) streamEnd {
	if len(partial) > 0 {
		return endInsideEvent
	}
	return endAfterEvent
}

// forwardEvents writes the complete events of the partial data and keeps the rest. It
// returns false when the caller can't be reached.
func (r *relay) forwardEvents(answer *backendconn.Answer, partial *[]byte) bool {
	end := completeEventsLen(*partial)
	if end == 0 {
		return true
	}
	events := (*partial)[:end]
	if id := lastEventID(events); id != "" {
		r.stream.lastEventID = id
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

// startStream writes the header of the answer, once: a stream that is resumed at another
// backend server keeps its first header.
func (r *relay) startStream(answer *backendconn.Answer) {
	if r.stream.started {
		return
	}
	r.stream.started = true
	maps.Copy(r.writer.Header(), fleet.EndToEndHeaders(answer.Header))
	r.handler.writeHead(r.writer, answer.Status)
}

// finishStream ends a stream that its backend server has completed.
func (r *relay) finishStream(placed *placement, answer *backendconn.Answer, rest []byte, late bool) sendOutcome {
	r.startStream(answer)
	if len(rest) > 0 {
		// Bytes after the last event belong to the body too.
		if _, err := r.writer.Write(rest); err != nil {
			return r.callerDisconnected()
		}
	}
	r.handler.admission.loads.recordAnswer(placed.backend.Incarnation, true, 0)
	r.handler.requestLog.answered(r.request, placed, answer.Status, r.sends, late, nil)
	r.handler.metrics.answered(answer.Status)
	return outcomeDone
}

// callerDisconnected ends a request whose caller has disconnected. It aborts the
// connection, since net/http would send a success for a request that returns without an
// answer.
func (r *relay) callerDisconnected() sendOutcome {
	r.handler.requestLog.callerDisconnected(r.request)
	panic(http.ErrAbortHandler)
}

// eventSeparator ends an event.
var eventSeparator = []byte("\n\n")

// completeEventsLen returns the length of the complete events at the start of data.
func completeEventsLen(data []byte) int {
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
