package gate

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/backendconn"
	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/eventstream"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// streamState is what the caller has received of a stream.
type streamState struct {
	started     bool
	lastEventID string             // id of the last event forwarded, "" for none
	begunAt     *knowledge.Backend // sent the first event, nil before that
	whole       bool               // a backend server has completed it
	// cut says that a backend server broke off inside the event after the forwarded ones, so
	// that the stream has at least one more.
	cut bool
}

const (
	// streamBufferBytes is the size of the buffer into which a stream is read.
	streamBufferBytes = 8 << 10
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
)

// errEventTooLong ends a stream with an event larger than maxEventBytes.
var errEventTooLong = errors.New("an event of the stream is too long")

// errAnswerMemory ends a stream with a large event for which there is no memory.
var errAnswerMemory = errors.New("there is no memory left to hold the event of the stream")

// errNoEvents ends a stream that must have more events than it has.
var errNoEvents = errors.New("the stream ended before its first event")

// errOtherVersion ends a stream whose backend server may not have the version that began it.
var errOtherVersion = errors.New("the backend server has started again with another version")

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
	events := &eventForwarder{relay: r, placed: placed, answer: answer, hold: r.newAnswerHold()}
	defer events.hold.release()
	timing := newStreamTiming(r.request)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			now := boottime.Now()
			h.dataReceived(placed.backend, sent, now)
			if r.request.Software != 0 && r.eventsSince == 0 && h.mayBeOtherVersion(placed.backend) {
				r.logSendFailure(ctx, placed, errOtherVersion)
				return outcomeBroken
			}
			if timing.recordEvent(now) {
				h.admission.recordFirstEvent(r.request, placed, now.Sub(sent))
				h.metrics.firstEvent(now.Sub(r.request.Received))
			}
			if !events.forward(buffer[:n]) {
				return r.callerDisconnected()
			}
			r.recordSoundStream(now, false)
		}
		err = events.check(err)
		if err != nil {
			h.metrics.streamEnded(answer.Framing, err)
		}
		if err == io.EOF {
			if !h.lag.busy(boottime.Now()) {
				h.admission.recordStreamEnd(r.request.Service, placed, timing.late)
			}
			return r.finishStream(placed, answer, events.rest, timing.late)
		}
		if err != nil {
			r.stream.cut = r.stream.cut || events.insideEvent()
			answer.MarkBroken()
			return r.answerFailed(ctx, placed, answer, sent, err)
		}
	}
}

// eventForwarder forwards the complete events of a stream, and the comments before them.
type eventForwarder struct {
	relay   *relay
	placed  *placement
	answer  *backendconn.Answer
	scanner eventstream.Scanner
	rest    []byte // of an event in progress
	hold    *answerHold
}

// forward writes the events that the next bytes of the stream complete, and keeps the rest.
// It returns false when the caller can't be reached.
func (f *eventForwarder) forward(data []byte) bool {
	ended := f.scanner.Scan(data)
	if ended == 0 {
		f.rest = append(f.rest, data...)
		return true
	}
	events := data[:ended]
	if len(f.rest) > 0 {
		events = append(f.rest, events...)
	}
	if f.scanner.Events() {
		f.relay.noteEvents(f.placed.backend, f.answer)
		if f.relay.eventsSince == 0 {
			f.relay.eventsSince = boottime.Now()
		}
	}
	if !f.relay.writeEvents(f.answer, events) {
		return false
	}
	if cap(f.rest) > uncountedAnswerBytes && len(events) <= uncountedAnswerBytes {
		// A stream whose events are all large keeps its memory, so that it can go on.
		f.rest = nil
		f.hold.release()
	}
	f.rest = append(f.rest[:0], data[ended:]...)
	return true
}

// isStream reports whether the answer is a stream of events. One that goes on with a stream is,
// whatever type it states, and one that states none if it looks like one.
func (f *eventForwarder) isStream() bool {
	switch {
	case f.relay.lastEventID() != "":
		return true
	case f.answer.Header.Get("Content-Type") == "":
		return f.scanner.Events() || eventstream.BeginsEvent(f.rest)
	}
	return isEventStream(f.answer)
}

// insideEvent reports whether an event of the stream has begun and not ended.
func (f *eventForwarder) insideEvent() bool { return f.isStream() && f.scanner.InsideEvent() }

// check returns err, the result of the last read, or why the stream must not go on or end
// here.
func (f *eventForwarder) check(err error) error {
	if err == nil && len(f.rest) > maxEventBytes {
		return errEventTooLong
	}
	if err == nil && !f.hold.grow(cap(f.rest)) {
		return errAnswerMemory
	}
	if err != io.EOF {
		return err
	}
	if broken := f.brokenOff(); broken != nil {
		return broken
	}
	return io.EOF
}

// brokenOff returns why a stream can't be whole that ends here, or nil. An answer's framing
// alone doesn't tell: without length and chunks any end of the connection is a proper one, and
// a backend server that fails may also frame half an event properly.
func (f *eventForwarder) brokenOff() error {
	switch {
	case !f.isStream():
		return nil
	case !f.scanner.Whole():
		return eventstream.ErrInsideEvent
	case f.scanner.Events():
		return nil
	case f.relay.stream.cut, f.relay.mayLackEvents(f.answer):
		return errNoEvents
	}
	return nil
}

// mayLackEvents reports whether a stream without events may have been broken off before the
// first one: its end is not marked, and the caller asks for more than the end of a stream.
func (r *relay) mayLackEvents(answer *backendconn.Answer) bool {
	return answer.Framing == backendconn.FramingClose && r.lastEventID() == ""
}

// isEventStream reports whether an answer states that it is a stream of events.
func isEventStream(answer *backendconn.Answer) bool {
	mediaType, _, _ := strings.Cut(answer.Header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// noteEvents records that events of the backend server are about to be forwarded. From then on
// the stream goes on only at the same software.
func (r *relay) noteEvents(backend *knowledge.Backend, answer *backendconn.Answer) {
	r.stream.cut = false
	if r.stream.begunAt == nil {
		r.stream.begunAt = backend
		r.handler.countStream(r.request, true)
		r.request.Continues = r.request.Route.Repeat == knowledge.RepeatResume
		r.handler.recordOrigin(r.request, backend, answer)
	}
}

// writeEvents sends complete events to the caller. It returns false when the caller can't be
// reached.
func (r *relay) writeEvents(answer *backendconn.Answer, events []byte) bool {
	if id := eventstream.LastID(events); id != "" {
		r.stream.lastEventID = id
	}
	r.startStream(answer)
	if _, err := r.writer.Write(events); err != nil {
		return false
	}
	return http.NewResponseController(r.writer).Flush() == nil
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

// finishStream ends a stream that its backend server has completed. rest is what follows
// the last event: comments, or all of an answer that is no stream of events.
func (r *relay) finishStream(placed *placement, answer *backendconn.Answer, rest []byte, late bool) sendOutcome {
	r.stream.whole = true
	r.startStream(answer)
	if len(rest) > 0 {
		if _, err := r.writer.Write(rest); err != nil {
			return r.callerDisconnected()
		}
	}
	r.recordSoundStream(boottime.Now(), true)
	r.handler.admission.loads.recordAnswer(placed.backend.Incarnation, true, 0)
	r.handler.requestLog.answered(r.request, placed, answer.Status, r.sends, late, nil)
	r.handler.metrics.answered(answer.Status)
	return outcomeDone
}

// callerDisconnected ends a request whose caller has disconnected. It aborts the
// connection, since net/http would send a success for a request that returns without an
// answer.
func (r *relay) callerDisconnected() sendOutcome {
	connected := r.conn != nil && r.conn.connected()
	if connected {
		r.conn.unanswered.canceled()
	}
	r.handler.requestLog.callerDisconnected(r.request, connected)
	panic(http.ErrAbortHandler)
}
