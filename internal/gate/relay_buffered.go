package gate

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/backendconn"
	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/eventstream"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// maxBufferedAnswer is the maximum size of an answer that is read to its end before it is
// forwarded, so that the request can be retried if the answer breaks off.
const maxBufferedAnswer = 1 << 20

// maxDiscardedBytes is how much of an unwanted answer is read so that its connection can be
// reused.
const maxDiscardedBytes = 16 << 10

// maxDiscardTime is how long that may take, as the caller waits meanwhile. The body of a refusal
// arrives with its head.
const maxDiscardTime = 50 * time.Millisecond

// bufferedAnswer is an answer that has been read to its end.
type bufferedAnswer struct {
	placed *placement
	status int
	header http.Header
	body   []byte
	hold   *answerHold // of the memory of body
}

// relayBuffered reads an answer to its end and forwards it.
func (r *relay) relayBuffered(ctx context.Context, placed *placement, answer *backendconn.Answer, reply Reply, sent boottime.Instant) sendOutcome {
	body, err := r.readBuffered(answer)
	if err != nil {
		answer.MarkBroken()
		return r.answerFailed(ctx, placed, answer, sent, err)
	}
	took := boottime.Now().Sub(sent)
	r.handler.admission.recordFirstEvent(r.request, placed, took)
	success := answer.Status < http.StatusMultipleChoices
	genuine := reply.genuine(r.request)
	sound := success && genuine
	r.handler.admission.loads.recordAnswer(placed.backend.Incarnation, sound, took)
	if sound {
		r.handler.segments.Sound(r.request.SegmentKeys, sent, boottime.Now())
	}
	if genuine && answer.Status < http.StatusInternalServerError {
		r.handler.admission.recordPlainAnswer(placed, sound, took)
	}
	if !genuine {
		// Also a failure may come from something that is no backend server, or belong to none.
		r.handler.requestLog.badAnswer(r.request, placed.backend, answer.Status)
		body.discard()
		return outcomeBroken
	}
	if !body.complete {
		return r.relayUnbuffered(ctx, placed, answer, reply, body)
	}
	buffered := &bufferedAnswer{placed: placed, status: answer.Status, header: r.callerHeader(answer, reply), body: body.data, hold: body.hold}
	if answer.Status >= http.StatusInternalServerError {
		// Another backend server may succeed; if not, this is the answer.
		r.handler.requestLog.failed(r.request, placed.backend, answer.Status)
		if r.savedFailure != nil {
			r.savedFailure.hold.release()
		}
		r.savedFailure = buffered
		return outcomeFailed
	}
	r.deliver(buffered)
	return outcomeDone
}

// bufferedBody is the body of an answer as far as it is held.
type bufferedBody struct {
	data     []byte
	hold     *answerHold // of the memory of data
	complete bool
	rest     io.Reader // what follows data
}

// discard frees the memory of what has been read.
func (b *bufferedBody) discard() {
	b.data = nil
	b.hold.release()
}

// readBuffered reads the answer's body while there is memory for it, up to maxBufferedAnswer
// bytes. It returns an error if the body is not whole.
func (r *relay) readBuffered(answer *backendconn.Answer) (*bufferedBody, error) {
	body := &bufferedBody{data: make([]byte, 0, firstBufferSize(answer)), hold: r.newAnswerHold(), rest: bodyReader(answer)}
	for {
		if len(body.data) == cap(body.data) && !body.grow() {
			return body, nil
		}
		n, err := body.rest.Read(body.data[len(body.data):cap(body.data)])
		body.data = body.data[:len(body.data)+n]
		if err == io.EOF && len(body.data) == 0 && isSuccessfulStream(answer) && r.mayLackEvents(answer) {
			err = errNoEvents
		}
		if err == io.EOF {
			body.complete = true
			return body, nil
		}
		if err != nil {
			body.discard()
			return nil, err
		}
	}
}

// firstBufferSize returns the size of the first buffer for an answer's body. One that states a
// great length may never come.
func firstBufferSize(answer *backendconn.Answer) int {
	return int(min(max(answer.Length, 0)+bytes.MinRead, uncountedAnswerBytes))
}

// grow enlarges the buffer. It returns false if there is no memory for it, or if it has
// maxBufferedAnswer bytes.
func (b *bufferedBody) grow() bool {
	size := min(2*cap(b.data), maxBufferedAnswer)
	if size == cap(b.data) || !b.hold.grow(size) {
		return false
	}
	larger := make([]byte, len(b.data), size)
	copy(larger, b.data)
	b.data = larger
	return true
}

// bodyReader returns a reader of the answer's body that returns an error in place of io.EOF if
// the body shows that it is not whole.
func bodyReader(answer *backendconn.Answer) io.Reader {
	if isSuccessfulStream(answer) {
		return eventstream.NewReader(answer)
	}
	return answer
}

func isSuccessfulStream(answer *backendconn.Answer) bool {
	return answer.Status < http.StatusMultipleChoices && isEventStream(answer)
}

// late reports whether an answer completed now misses its route's latency target.
func (r *relay) late() bool {
	target := r.request.Route.TargetLatency
	return target > 0 && boottime.Now().Sub(r.request.Received) > target
}

// callerHeader returns the header for the caller. The signature is removed if it is not
// valid, or if callerStatus changes the status.
func (r *relay) callerHeader(answer *backendconn.Answer, reply Reply) http.Header {
	header := fleet.EndToEndHeaders(answer.Header)
	if promisesNotRun(answer.Status) || !reply.Signed {
		r.handler.dialect.StripSignature(header)
	}
	return header
}

// promisesNotRun reports whether callers take the status as a promise that the request has
// not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// callerStatus returns the status for the caller. A status that promises that the request
// has not run is replaced, as the backend server did not say that it refused the request
// and the promise could be untrue.
func callerStatus(status int) int {
	if promisesNotRun(status) {
		return http.StatusBadGateway
	}
	return status
}

// deliver sends a complete answer to the caller.
func (r *relay) deliver(buffered *bufferedAnswer) {
	status := callerStatus(buffered.status)
	header := r.writer.Header()
	maps.Copy(header, buffered.header)
	header.Set("Content-Length", strconv.Itoa(len(buffered.body)))
	r.handler.writeHead(r.writer, status)
	_, err := r.writer.Write(buffered.body)
	r.handler.requestLog.answered(r.request, buffered.placed, status, r.sends, r.late(), err)
	r.handler.metrics.answered(status)
}

// relayUnbuffered forwards an answer that is too long to be buffered, or for which there is no
// memory: first what has been read, then the rest of the body.
func (r *relay) relayUnbuffered(ctx context.Context, placed *placement, answer *backendconn.Answer, reply Reply, body *bufferedBody) sendOutcome {
	status := callerStatus(answer.Status)
	header := r.writer.Header()
	maps.Copy(header, r.callerHeader(answer, reply))
	if answer.Length >= 0 && !isSuccessfulStream(answer) {
		// With its length, a caller could not tell that a stream ends inside an event.
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	r.stream.started = true
	r.handler.writeHead(r.writer, status)
	_, err := r.writer.Write(body.data)
	body.discard() // the rest may take long
	if err == nil {
		_, err = io.Copy(r.writer, body.rest)
	}
	if err != nil {
		answer.MarkBroken()
		if callerDisconnected(ctx) {
			return r.callerDisconnected()
		}
		r.finish(ctx, Refusal{})
	}
	r.handler.requestLog.answered(r.request, placed, status, r.sends, r.late(), nil)
	r.handler.metrics.answered(status)
	return outcomeDone
}

// discardRest reads an answer that is not forwarded, so that its connection can be reused.
func (r *relay) discardRest(answer *backendconn.Answer) {
	answer.Discard(maxDiscardedBytes, maxDiscardTime)
}
