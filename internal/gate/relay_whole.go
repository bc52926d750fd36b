package gate

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/bluebellchute/bluebellchute/internal/backendconn"
	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// maxBufferedAnswer is the size of an answer up to which it is read to its end before
// it is handed on, so that one that breaks off can be replaced.
const maxBufferedAnswer = 1 << 20

// maxDiscardedBytes is how much of an answer that nobody wants is read to keep its
// connection.
const maxDiscardedBytes = 16 << 10

// bufferedAnswer is an answer that has been read to its end.
type bufferedAnswer struct {
	placed *placement
	status int
	header http.Header
	body   []byte
}

// relayBuffered reads an answer to its end and hands it on.
func (r *relay) relayBuffered(ctx context.Context, placed *placement, answer *backendconn.Answer, reply Reply, sent boottime.Instant) sendOutcome {
	var body bytes.Buffer
	if answer.Length > 0 && answer.Length <= maxBufferedAnswer {
		body.Grow(int(answer.Length) + bytes.MinRead)
	}
	_, err := io.Copy(&body, io.LimitReader(answer, maxBufferedAnswer))
	if err != nil {
		return r.answerFailed(ctx, placed, sent, err)
	}
	took := boottime.Now().Sub(sent)
	r.handler.admission.recordFirstEvent(r.request, placed, took)
	success := answer.Status < http.StatusMultipleChoices
	sound := success && reply.genuine(r.request)
	r.handler.admission.loads.recordAnswer(placed.backend.Incarnation, sound, took)
	if sound || !success && answer.Status < http.StatusInternalServerError {
		r.handler.admission.recordPlainAnswer(placed, sound, took)
	}
	if success && !sound {
		r.handler.requestLog.badAnswer(r.request, placed.backend, answer.Status)
		return outcomeBroken
	}
	if body.Len() == maxBufferedAnswer {
		return r.relayUnbuffered(ctx, placed, answer, reply, body.Bytes())
	}
	whole := &bufferedAnswer{placed: placed, status: answer.Status, header: r.callerHeader(answer, reply), body: body.Bytes()}
	if answer.Status >= http.StatusInternalServerError {
		// Another backend server may do better; if not, this is the answer.
		r.handler.requestLog.failed(r.request, placed.backend, answer.Status)
		r.savedFailure = whole
		return outcomeFailed
	}
	r.deliver(whole)
	return outcomeDone
}

// late tells whether an answer that is whole now misses its route's target.
func (r *relay) late() bool {
	target := r.request.Route.TargetLatency
	return target > 0 && boottime.Now().Sub(r.request.Received) > target
}

// callerHeader returns the header for the caller. A status that promises that the
// request did not run is changed by handedStatus, so it may not be signed.
func (r *relay) callerHeader(answer *backendconn.Answer, reply Reply) http.Header {
	header := fleet.EndToEnd(answer.Header)
	if promisesNotRun(answer.Status) || !reply.Signed {
		r.handler.dialect.StripSignature(header)
	}
	return header
}

// promisesNotRun tells whether callers take the status for a promise that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// callerStatus returns the status for the caller. When the status promises that
// the request did not run, but the backend server did not say that it refused
// the request, the promise could be untrue.
func callerStatus(status int) int {
	if promisesNotRun(status) {
		return http.StatusBadGateway
	}
	return status
}

// deliver hands a whole answer to the caller.
func (r *relay) deliver(whole *bufferedAnswer) {
	status := callerStatus(whole.status)
	header := r.writer.Header()
	maps.Copy(header, whole.header)
	header.Set("Content-Length", strconv.Itoa(len(whole.body)))
	r.handler.writeHead(r.writer, status)
	_, err := r.writer.Write(whole.body)
	r.handler.requestLog.answered(r.request, whole.placed, status, r.sends, r.late(), err)
	r.handler.metrics.answered(status)
}

// relayUnbuffered hands on an answer that is too long to be held: what has been read
// and then the rest.
func (r *relay) relayUnbuffered(ctx context.Context, placed *placement, answer *backendconn.Answer, reply Reply, read []byte) sendOutcome {
	status := callerStatus(answer.Status)
	header := r.writer.Header()
	maps.Copy(header, r.callerHeader(answer, reply))
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	r.stream.started = true
	r.handler.writeHead(r.writer, status)
	_, err := r.writer.Write(read)
	if err == nil {
		_, err = io.Copy(r.writer, answer)
	}
	if err != nil {
		if callerDisconnected(ctx) {
			return r.callerDisconnected()
		}
		r.finish(ctx, Refusal{})
	}
	r.handler.requestLog.answered(r.request, placed, status, r.sends, r.late(), nil)
	r.handler.metrics.answered(status)
	return outcomeDone
}

// discardRest reads an answer that is not handed on, so that its connection can
// be used again.
func (r *relay) discardRest(answer *backendconn.Answer) {
	// A failure only costs the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxDiscardedBytes))
}
