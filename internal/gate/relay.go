package gate

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/answerhead"
	"github.com/bluebellchute/bluebellchute/internal/backendconn"
	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

const (
	// maxConnectFailures is the maximum number of attempts to send a request that fail
	// before anything has been sent.
	maxConnectFailures = 3
	// maxFurtherRefusals is how many more may fail for a stream that goes on, since servers refuse
	// connections: it has fewer servers, among them those that have just crashed.
	maxFurtherRefusals = 5
	// minTimeLeft is the remaining time below which a request is not sent any more: its
	// answer could not be back in time.
	minTimeLeft = 5 * time.Millisecond
)

// relay forwards one request to backend servers until its caller has an answer.
type relay struct {
	handler  *handler
	request  *Request
	writer   http.ResponseWriter
	conn     *callerConn     // nil if unknown
	excluded map[string]bool // backend servers that failed the request

	sends           int  // requests that may have arrived at a backend server
	connectFailures int  // attempts that failed before anything was sent
	refusals        int  // of these, connections that were refused
	mayHaveRun      bool // the request may have run
	stream          streamState
	soundRecorded   bool             // whether the answer has been recorded as sound
	eventsSince     boottime.Instant // when the current backend server sent its first whole event, 0 before that
	savedFailure    *bufferedAnswer  // a backend server's failure, kept while another server is tried
	holds           []*answerHold    // memory of the answers
}

// newAnswerHold returns the hold of the memory for an answer. It is released when the request
// has ended, if not before.
func (r *relay) newAnswerHold() *answerHold {
	hold := &answerHold{memory: &r.handler.answerMemory, limit: r.handler.answerMemoryLimit}
	r.holds = append(r.holds, hold)
	return hold
}

// releaseHolds releases the memory of all answers.
func (r *relay) releaseHolds() {
	for _, hold := range r.holds {
		hold.release()
	}
}

// sendOutcome is the result of one attempt to send a request.
type sendOutcome int

const (
	outcomeDone     sendOutcome = iota // the caller has its answer, or has disconnected
	outcomeDeclined                    // the backend server did not run it
	outcomeUnsent                      // nothing was sent
	outcomeBroken                      // it may have run, no usable answer came
	outcomeFailed                      // the backend server answered with a failure, which is saved
)

// loop sends the request until its caller has an answer. It terminates: each iteration
// either answers, counts a send towards the route's limit, counts a failed connection towards
// its limit, or excludes a backend server that may have started again.
func (r *relay) loop(ctx context.Context) {
	defer r.releaseHolds()
	for {
		if r.sends == 0 && r.connectFailures == 0 && !r.handler.drain.accepts(r.request, boottime.Now()) {
			r.finish(ctx, drainRefusal())
			return
		}
		if refusal := r.refuseSegments(); refusal != nil {
			r.finish(ctx, *refusal)
			return
		}
		r.confirmSoftware(ctx)
		view := r.handler.state.View()
		placed, refusal := r.handler.admission.place(r.request, view, r.excluded)
		if refusal != nil {
			r.finish(ctx, *refusal)
			return
		}
		if r.sends > 0 && !r.handler.budget.spend(r.request.Service) {
			r.handler.admission.release(r.request, placed, false)
			r.finish(ctx, r.failure())
			return
		}
		result := r.send(ctx, placed)
		if result == outcomeDone {
			return
		}
		r.excluded[placed.backend.ID] = true
		r.scatter(result)
		if !r.mayRetry(ctx, result) {
			r.finish(ctx, r.failure())
			return
		}
	}
}

// mayRetry reports whether the request may be sent to another backend server.
func (r *relay) mayRetry(ctx context.Context, result sendOutcome) bool {
	switch {
	case ctx.Err() != nil, r.request.Remaining(boottime.Now()) < minTimeLeft:
		return false
	case r.sends >= max(r.request.Route.MaxAttempts, 1), r.connectFailures >= r.maxConnectFailures():
		return false
	case r.stream.started:
		// Without events, only comments have been forwarded, and the stream can begin again.
		return r.request.Route.Repeat == knowledge.RepeatResume && (r.stream.lastEventID != "" || r.stream.begunAt == nil)
	case result == outcomeBroken, result == outcomeFailed:
		return r.request.Idempotent()
	}
	return true
}

// maxConnectFailures returns the maximum number of attempts to send the request that fail before
// anything has been sent.
func (r *relay) maxConnectFailures() int {
	if r.request.Software == 0 {
		return maxConnectFailures
	}
	return maxConnectFailures + min(r.refusals, maxFurtherRefusals)
}

// failure returns the refusal for a request that is not sent again.
func (r *relay) failure() Refusal {
	if r.mayHaveRun {
		return Refusal{Status: http.StatusBadGateway, Reason: ReasonBroken}
	}
	return Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     ReasonDeclined,
		RetryAfter: r.handler.admission.retryAfter(r.request),
	}
}

// finish ends the request with the saved failure, if any, or else with the refusal. If the
// context has ended, the refusal states the cause instead. A stream that has started is
// aborted.
func (r *relay) finish(ctx context.Context, refusal Refusal) {
	if r.stream.started {
		// The header of an answer has been sent. Only a connection that ends early tells
		// the caller that the stream is not complete.
		r.handler.requestLog.streamAborted(r.request, refusal, r.sends, cancelledByDrain(ctx))
		panic(http.ErrAbortHandler)
	}
	if r.savedFailure != nil {
		r.deliver(r.savedFailure)
		return
	}
	if r.mayHaveRun && refusal.Status == http.StatusServiceUnavailable {
		// 503 promises that the request has not run.
		refusal = Refusal{Status: http.StatusBadGateway, Reason: ReasonBroken}
	}
	switch {
	case cancelledByDrain(ctx):
		refusal = r.drainEndedRefusal()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal = r.timeoutRefusal()
	case errors.Is(ctx.Err(), context.Canceled):
		refusal.Reason = ReasonCallerGone
	}
	r.handler.refuse(r.writer, r.request, refusal)
}

// drainEndedRefusal returns the answer to a request that was cancelled because draining
// ended.
func (r *relay) drainEndedRefusal() Refusal {
	if r.mayHaveRun {
		return Refusal{Status: http.StatusBadGateway, Reason: ReasonDraining}
	}
	return drainRefusal()
}

// timeoutRefusal returns the answer to a request whose time limit has passed.
func (r *relay) timeoutRefusal() Refusal {
	if r.mayHaveRun {
		return Refusal{Status: http.StatusGatewayTimeout, Reason: ReasonTimeout}
	}
	return Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     ReasonTooLate,
		RetryAfter: r.handler.admission.retryAfter(r.request),
	}
}

// send sends the request to the backend server of its placement and forwards the answer.
func (r *relay) send(ctx context.Context, placed *placement) sendOutcome {
	h := r.handler
	if callerDisconnected(ctx) {
		h.admission.release(r.request, placed, false)
		return r.callerDisconnected()
	}
	if ctx.Err() != nil {
		h.admission.release(r.request, placed, false)
		return outcomeUnsent
	}
	if placed.model {
		h.metrics.placedModel(placed, h.admission.zone)
	}
	r.countContinued(placed.backend)
	r.eventsSince, r.soundRecorded = 0, false
	sent := boottime.Now()
	answer, err := h.pool.Do(ctx, placed.backend.Address, r.outgoingRequest(ctx, placed, sent))
	if err != nil {
		return r.sendFailed(ctx, placed, sent, err)
	}
	defer answer.Close()
	r.sends++
	reply := h.dialect.Reply(answer.Status, answer.Header)
	h.observeReply(placed.backend, reply)
	if !reply.Draining && !reply.Replaced {
		answer.MarkServing()
	}
	if !reply.Replaced {
		h.dataReceived(placed.backend, sent, boottime.Now())
	}
	if reply.Refused || reply.Replaced {
		h.requestLog.declined(r.request, placed.backend, answer.Status, reply.Replaced)
		h.admission.release(r.request, placed, false)
		if reply.Replaced {
			h.admission.loads.recordConnectionFailure(placed.backend.Incarnation)
		}
		r.discardRest(answer)
		r.mayHaveRun = r.mayHaveRun || answer.Unidentified
		return outcomeDeclined
	}
	r.mayHaveRun = true
	defer h.admission.release(r.request, placed, true)
	if r.stream.started && answer.Status >= http.StatusMultipleChoices {
		// A failure status can't follow the first events of a stream.
		r.discardRest(answer)
		return outcomeBroken
	}
	if r.request.Route.Stream && answer.Status < http.StatusMultipleChoices {
		return r.relayStream(ctx, placed, answer, reply, sent)
	}
	return r.relayBuffered(ctx, placed, answer, reply, sent)
}

// countContinued counts a stream that is about to be continued at the backend server.
func (r *relay) countContinued(backend *knowledge.Backend) {
	by := byRouter
	switch {
	case r.stream.begunAt == nil && (!r.request.Route.Stream || r.request.LastEventID == ""):
		return
	case r.stream.begunAt == nil:
		by = byCaller
	}
	version := versionOther
	switch r.request.Software {
	case 0:
		version = versionUnknown
	case r.handler.state.View().SoftwareID(backend):
		version = versionSame
	}
	r.handler.metrics.streamContinued(by, version)
}

// observeReply records what the backend server reports about itself with an answer.
func (h *handler) observeReply(backend *knowledge.Backend, reply Reply) {
	if reply.Replaced {
		return // the report is that of another server
	}
	h.admission.cold.markCold(backend.Incarnation, reply.ColdRemaining)
	now := boottime.Now()
	h.admission.paces.recordReport(backend, reply, now)
	if reply.Draining && h.admission.unavailable.add(backend.Incarnation, indefinitely, now) {
		h.requestLog.backendDraining(backend)
	}
	if reply.UnavailableFor > 0 && h.admission.unavailable.add(backend.Incarnation, now.Add(reply.UnavailableFor), now) {
		h.requestLog.backendRejecting(backend, reply.UnavailableFor)
	}
}

// outgoingRequest returns the request in the form in which it is sent to the backend server.
func (r *relay) outgoingRequest(ctx context.Context, placed *placement, now boottime.Instant) *backendconn.Request {
	forward := &Forward{
		Request:     r.request,
		Backend:     placed.backend,
		Remaining:   r.request.Remaining(now),
		LastEventID: r.lastEventID(),
		FetchSource: placed.fetchSource,
	}
	return &backendconn.Request{
		Method:         r.request.Method,
		URI:            r.request.URI,
		Host:           r.request.Host,
		Header:         r.handler.dialect.ForwardHeader(forward),
		Body:           r.request.Body,
		Match:          r.match,
		AtMostOnce:     !r.request.Idempotent(),
		OwnAnswerWait:  min(r.request.Remaining(now), r.request.Route.TargetLatency),
		MaxConnections: r.maxConnections(placed.backend),
		Certain:        r.request.Software != 0, // a stream goes on only where the version is certain
		PreferCertain:  r.request.resumable(),
		BeforeSend:     func() error { return r.checkBeforeSend(ctx, placed.backend) },
		OnSend:         func() { placed.permit.MarkSent(boottime.Now()) },
	}
}

// lastEventID returns the id of the last event that the caller has received, "" for none.
func (r *relay) lastEventID() string {
	if r.stream.lastEventID != "" {
		return r.stream.lastEventID
	}
	return r.request.LastEventID
}

// errSegmentRefused is returned if since the request was placed it has been found that a segment
// of its prompt crashes backend servers.
var errSegmentRefused = errors.New("a segment of the prompt crashes backend servers")

// errRejecting is returned if the backend server has started to reject new requests since
// the request was placed there.
var errRejecting = errors.New("the backend server rejects new requests")

// checkBeforeSend returns an error if the request must not be sent any more. On a busy
// processor, or on a link that loses packets, opening a connection takes seconds. In that
// time the caller may disconnect, or the backend server may start to reject requests.
func (r *relay) checkBeforeSend(ctx context.Context, backend *knowledge.Backend) error {
	if callerDisconnected(ctx) {
		return backendconn.ErrCallerDisconnected
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if r.handler.admission.unavailable.has(backend.Incarnation, boottime.Now()) {
		return errRejecting
	}
	if r.refuseSegments() != nil {
		return errSegmentRefused
	}
	return nil
}

// connectionShare is the fraction of a backend server's maximum connections that all
// routers together use. A backend server resets connections beyond its maximum, and accepts
// fewer while its queue is long.
const connectionShare = 0.8

// maxConnections returns the number of connections that this router may have to the backend
// server: what the others leave, but at least its even share. Callers are spread unevenly,
// so with the even share alone one router would refuse requests while the backend server
// has capacity.
func (r *relay) maxConnections(backend *knowledge.Backend) int {
	service := r.handler.state.View().Index.Service(r.request.Service)
	if service == nil || service.MaxConnections == 0 {
		return 0
	}
	peers := r.handler.admission.peers
	usable := float64(service.MaxConnections) * connectionShare
	evenShare := usable / float64(max(peers.Routers(), 1))
	leftByOthers := usable - float64(peers.Load(backend.IncarnationHash).Running)
	return max(int(evenShare), int(leftByOthers), 1)
}

// match reports whether an answer belongs to this request.
func (r *relay) match(header http.Header) backendconn.Match {
	switch r.handler.dialect.Reply(0, header).ID {
	case r.request.ID:
		return backendconn.MatchOwn
	case "":
		return backendconn.MatchUnidentified
	}
	return backendconn.MatchOther
}

// sendFailed handles a request that could not be sent, or whose answer did not begin.
func (r *relay) sendFailed(ctx context.Context, placed *placement, sent boottime.Instant, err error) sendOutcome {
	h := r.handler
	notSent := backendconn.ProgressOf(err) == backendconn.ProgressNone
	h.admission.release(r.request, placed, !notSent)
	if errors.Is(err, backendconn.ErrCallerDisconnected) || callerCanceled(ctx) {
		return r.callerDisconnected()
	}
	r.logSendFailure(ctx, placed, err)
	h.observeConnectError(placed.backend, sent, err)
	if errors.Is(err, backendconn.ErrUncertainProcess) {
		return outcomeUnsent // the server is excluded now, so the loop ends without counting it
	}
	if notSent {
		r.connectFailures++
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.refusals++
		}
		if ctx.Err() == nil && !deliberatelyUnsent(err) {
			h.admission.loads.recordConnectionFailure(placed.backend.Incarnation)
			h.admission.cold.assumeRestart(h.state.View(), placed.backend)
		}
		return outcomeUnsent
	}
	r.sends++
	r.mayHaveRun = true
	if errors.Is(err, backendconn.ErrUnidentified) {
		return outcomeBroken // the server may have rejected it, which is no failure
	}
	if closedByRouter(err) {
		// The server did not crash, or has not received the request.
		h.admission.loads.recordAnswer(placed.backend.Incarnation, false, 0)
		return outcomeBroken
	}
	r.recordReset(ctx, placed, sent)
	return outcomeBroken
}

// closedByRouter reports whether this router closed the connection of an exchange that failed.
func closedByRouter(err error) bool {
	return errors.Is(err, backendconn.ErrAnswerTooLarge) || errors.Is(err, answerhead.ErrInvalid) ||
		errors.Is(err, backendconn.ErrUnacknowledged)
}

// deliberatelyUnsent reports whether this router did not try to send a request, which says nothing
// about the backend server.
func deliberatelyUnsent(err error) bool {
	return errors.Is(err, backendconn.ErrTooMany) || errors.Is(err, errRejecting) ||
		errors.Is(err, errSegmentRefused)
}

// answerFailed handles an answer that could not be read to its end, or that is not whole.
func (r *relay) answerFailed(ctx context.Context, placed *placement, answer *backendconn.Answer, sent boottime.Instant, err error) sendOutcome {
	if callerCanceled(ctx) {
		return r.callerDisconnected()
	}
	r.logSendFailure(ctx, placed, err)
	if errors.Is(err, errAnswerMemory) {
		return outcomeBroken // tells nothing about the server
	}
	if answer.EndMarked() || errors.Is(err, errEventTooLong) || errors.Is(err, answerhead.ErrInvalid) {
		// The server itself has ended it, or this router has, so the server did not crash.
		r.handler.admission.loads.recordAnswer(placed.backend.Incarnation, false, 0)
		return outcomeBroken
	}
	r.recordReset(ctx, placed, sent)
	return outcomeBroken
}

// logSendFailure logs and counts that an exchange failed, unless the end of draining cancelled it.
func (r *relay) logSendFailure(ctx context.Context, placed *placement, err error) {
	if !cancelledByDrain(ctx) {
		r.handler.requestLog.sendFailed(r.request, placed.backend, r.eventsSince, err)
		r.handler.metrics.sendFailed(err)
	}
}

// recordReset records, unless the context has ended, that the connection to a backend
// server failed while the server had the request: as a possible crash, and as a failure in
// the server's load statistics.
func (r *relay) recordReset(ctx context.Context, placed *placement, sent boottime.Instant) {
	if ctx.Err() != nil {
		return
	}
	now := boottime.Now()
	run := r.run(now)
	r.handler.crashDetector.AddReset(placed.backend.Incarnation, run, sent, now)
	r.handler.segments.Reset(placed.backend.IncarnationHash, now, run.Segments, now)
	r.handler.admission.loads.recordAnswer(placed.backend.Incarnation, false, 0)
}
