package gate

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/backendconn"
	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
	"github.com/bluebellchute/bluebellchute/internal/streamorigin"
)

// Settings are the settings of a gate.
type Settings struct {
	Freshness Freshness
	Revoke    time.Duration // maximum time after the withdrawal of a key in which requests with it run
	Budget    RetryBudgetSettings
	Cold      ColdSettings
	Evacuate  time.Duration // maximum time from an order to evacuate a zone until no requests are sent there, 0 for none
	Admission policy.Settings
	Engines   EngineSettings
	Plain     PlainSettings
	// BodyMemory bounds the total size of the request bodies held at the same time, in
	// bytes.
	BodyMemory int64
	// AnswerMemory bounds the total size of the answers, and events of streams, that are held
	// until they are complete, in bytes.
	AnswerMemory int64
}

// EngineSettings control how differences between backend servers are taken into account.
type EngineSettings struct {
	Pace         bool // consider the pace of each backend server
	OwnZoneFirst bool // see ownZoneEngines
}

// currentSettings are the settings in force. They change when the settings
// file does.
type currentSettings struct{ pointer atomic.Pointer[Settings] }

func newCurrentSettings(settings Settings) *currentSettings {
	current := &currentSettings{}
	current.set(settings)
	return current
}

func (c *currentSettings) get() *Settings { return c.pointer.Load() }

func (c *currentSettings) set(settings Settings) { c.pointer.Store(&settings) }

// handler answers callers.
type handler struct {
	settings          *currentSettings
	dialect           Dialect
	state             *knowledge.State
	pool              *backendconn.Pool
	admission         *admission
	budget            *retryBudget
	suspects          *crash.Suspects
	crashDetector     *crash.Detector
	segments          *crash.SegmentTable
	refusedSegments   *refusedSegments
	streams           StreamOrigins
	unconfirmed       unconfirmedStreams
	continuations     *continuations
	requestLog        *requestLog
	metrics           *metrics
	startedAt         boottime.Instant
	bodyMemory        bodyMemory
	answerMemory      memoryBudget
	drain             *drainState
	closeAfterAnswer  func() bool // whether connections are to be closed after their next answers
	isolated          atomic.Bool // whether the store answers other routers but not this one
	drainedByOperator atomic.Bool // whether an operator has drained the router
	lag               *lagMeter
}

// ServeHTTP implements http.Handler. A request passes these checks in order; each can
// refuse it immediately, and the cheaper ones come first:
//
//  1. identify: route, account, and whether the fleet state is recent enough for them.
//  2. drainState: whether the request ends before the process does, while that drains.
//  3. lagMeter: whether the processor keeps up; requests beyond their account's share are
//     refused first.
//  4. readBody: whether there is memory for the body.
//  5. refuseSegments: whether a segment of the prompt crashes backend servers. This is
//     checked again before each send.
//  6. resolveOrigin: for a stream that the caller takes up, at which software it began.
//  7. suspects: whether the request crashes backend servers. It waits if that depends on
//     reset connections whose verdict is pending.
//  8. admission.place: the tier by the account's usage, the backend servers that may get
//     requests (not draining, rejecting, evacuated, excluded after failures, or cold with
//     their bound used up), and one of them within the tier's limits. For a plain service
//     with [plain] admission: one with a free slot, or a wait for one within the request's
//     budget.
//  9. retryBudget: for each retry, whether the fleet may still send one.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := boottime.Now()
	if h.lag.busy(received) || h.closeAfterAnswer() || h.isolated.Load() || h.drainedByOperator.Load() {
		w.Header().Set("Connection", "close")
	}
	view := h.awaitFleetState(r.Context(), received)
	request, err := h.dialect.Decode(r)
	if err != nil {
		h.refuse(w, nil, Refusal{Status: http.StatusBadRequest, Reason: ReasonMalformed})
		return
	}
	request.Received = received
	if refusal := identify(request, view, h.settings.get().Freshness, rand.Float64()); refusal != nil {
		h.admission.recordUnrelatedRefusal(request)
		h.refuse(w, request, *refusal)
		return
	}
	if !h.drain.accepts(request, received) {
		h.admission.recordUnrelatedRefusal(request)
		h.refuse(w, request, drainRefusal())
		return
	}
	h.requestLog.counts.addRequested(request)
	h.countStream(request, false)
	withinShare := func() bool { return h.admission.withinShare(request, view) }
	if !h.lag.accepts(received, withinShare, rand.Float64()) {
		// Accepting more would stall the requests in progress. These count as requested as well;
		// otherwise the other accounts would use this account's share.
		h.admission.recordRequest(request)
		retry := h.admission.retryAfter(request)
		h.refuse(w, request, Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonOverloaded, RetryAfter: retry})
		return
	}
	held := h.bodyMemory.hold(request)
	defer held.release()
	if refusal := h.readBody(w, r, request, view, &held); refusal != nil {
		h.refuse(w, request, *refusal)
		return
	}
	request.Fingerprint = fingerprint(request)
	request.SegmentKeys = segmentKeys(request)
	ctx, cancel := context.WithTimeout(r.Context(), request.Remaining(boottime.Now()))
	defer cancel()
	h.setWriteDeadline(w, request)
	h.recordAcceptedDraining(r.Context(), request)
	h.serve(ctx, w, request)
}

// recordAcceptedDraining counts and logs a request that is accepted late in the drain.
func (h *handler) recordAcceptedDraining(ctx context.Context, request *Request) {
	if !h.drain.late(request.Received) {
		return
	}
	h.metrics.acceptedDraining()
	h.requestLog.acceptedDraining(request, h.drain.elapsed(request.Received), callerConnOf(ctx))
}

// writeSlack is how long after its time limit an answer may still be written to a caller
// that reads slowly.
const writeSlack = 2 * time.Second

// setWriteDeadline bounds writes to a caller that does not read. Otherwise its answer would
// be held indefinitely.
func (h *handler) setWriteDeadline(w http.ResponseWriter, request *Request) {
	control := http.NewResponseController(w)
	// Connections in tests support no deadlines; those of callers do.
	_ = control.SetWriteDeadline(time.Now().Add(request.Timeout + writeSlack))
}

func (h *handler) answerMemoryLimit() int64 { return h.settings.get().AnswerMemory }

// serve sends an identified request to a backend server.
func (h *handler) serve(ctx context.Context, w http.ResponseWriter, request *Request) {
	if refusal := h.refuseSegments(request); refusal != nil {
		h.refuse(w, request, *refusal)
		return
	}
	// A request whose body does not come or finds no memory, or that has a refused segment, can't be
	// granted anything. Counted, it would look like a shortage of engines.
	h.admission.recordRequest(request)
	if refusal := h.resolveOrigin(ctx, request); refusal != nil {
		h.refuse(w, request, *refusal)
		return
	}
	h.budget.credit(request.Service)
	if refusal := h.awaitVerdicts(ctx, request); refusal != nil {
		h.refuse(w, request, *refusal)
		return
	}
	relay := &relay{handler: h, request: request, writer: w, conn: callerConnOf(ctx), excluded: make(map[string]bool)}
	if request.OriginKnown.onRecord() {
		defer relay.takePrecedence()()
	}
	relay.loop(ctx)
}

// takePrecedence admits a stream that its caller takes up before new requests, if it may be. The
// function that it returns is called when the request has ended.
func (r *relay) takePrecedence() (ended func()) {
	stream := streamorigin.StreamOf(r.request.Resumes)
	if !r.handler.continuations.acquire(stream) {
		return func() {}
	}
	r.request.Continues = true
	return func() {
		if r.stream.begunAt == nil && !r.stream.whole {
			r.handler.continuations.release(stream)
		}
	}
}

// suspectRetryAfter is the Retry-After for a request that crashes backend servers. It is
// long, as a retry will have the same result.
const suspectRetryAfter = 5 * time.Second

// refusalBody is the body of a refusal by the router itself.
type refusalBody struct {
	Error Reason `json:"error"`
}

// writeHead writes the header of an answer. The request may have come before the stop
// signal, so it is only known now whether its connection will be closed.
func (h *handler) writeHead(w http.ResponseWriter, status int) {
	if h.drain.draining() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
}

// refuse answers a request that has no answer from a backend server.
func (h *handler) refuse(w http.ResponseWriter, request *Request, refusal Refusal) {
	h.cancelTrial(request, refusal)
	h.requestLog.refused(request, refusal)
	h.metrics.refused(refusal)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(refusalBody{Error: refusal.Reason})
	if err != nil {
		panic(err) // a string can always be encoded
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	h.writeHead(w, refusal.Status)
	_, _ = w.Write(body) // the caller may have disconnected
}
