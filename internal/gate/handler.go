package gate

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/backendconn"
	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
)

// Settings are the settings of a gate.
type Settings struct {
	Freshness Freshness
	Revoke    time.Duration // from the withdrawal of a key until no request with it runs
	Budget    RetryBudgetSettings
	Cold      ColdSettings
	Evacuate  time.Duration // from an order to evacuate a zone until nothing is sent there, 0 for none
	Admission policy.Settings
	Engines   EngineSettings
	Plain     PlainSettings
	// BodyMemory bounds the bytes of all requests that are held at once.
	BodyMemory int64
}

// EngineSettings tell what is made of the differences between backend servers.
type EngineSettings struct {
	Pace         bool // go by the pace of each
	OwnZoneFirst bool // see near
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
	suspects          *suspects
	crashDetector     *crashDetector
	requestLog        *requestLog
	metrics           *metrics
	startedAt         boottime.Instant
	bodyBytes         atomic.Int64 // bytes of the requests held
	drain             *drainState
	closeAfterAnswer  func() bool // whether connections are to be closed after their answers
	isolated          atomic.Bool // whether callers are served better elsewhere
	drainedByOperator atomic.Bool // whether an operator wants callers to go elsewhere
	lag               *lagMeter
}

// ServeHTTP implements http.Handler. A request meets the decisions in this order; each
// refuses at once, and the cheaper ones come first:
//
//  1. identify: route, account, and whether what is known is young enough for them.
//  2. drainState: whether it ends before the process does, once that drains.
//  3. lagMeter: whether the processor gets on; what goes beyond the shares is cut first.
//  4. readBody: whether there is memory for the body.
//  5. suspects: whether the request breaks backend servers. It waits where that turns on
//     breaks whose verdict is pending.
//  6. admission.place: the tier that the account's standing gives it, the backend
//     servers that may take anything (not leaving, closed, evacuated, shunned, or cold
//     with nothing left of their bound), and one among them within the tier's bounds. For
//     a plain service, with [plain] admission: one with a free slot, or a wait for one
//     within the request's budget.
//  7. retryBudget: for each further send, whether the fleet may still make one.
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
	// What is refused counts too: the others would else use the account's part.
	h.admission.recordRequest(request)
	h.requestLog.tally.addRequested(request)
	owed := func() bool { return h.admission.withinShare(request, view) }
	if !h.lag.accepts(received, owed, rand.Float64()) {
		// Requests in progress would not get on if more were taken.
		retry := h.admission.retryAfter(request)
		h.refuse(w, request, Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonOverloaded, RetryAfter: retry})
		return
	}
	size, refusal := h.readBody(w, r, request, view)
	defer h.bodyBytes.Add(-size)
	if refusal != nil {
		h.refuse(w, request, *refusal)
		return
	}
	request.Fingerprint = fingerprint(request)
	ctx, cancel := context.WithTimeout(r.Context(), request.Remaining(boottime.Now()))
	defer cancel()
	h.setWriteDeadline(w, request)
	h.recordAcceptedDraining(r.Context(), request)
	h.serve(ctx, w, request)
}

// recordAcceptedDraining tells of a request that is taken although no connections are accepted any more.
func (h *handler) recordAcceptedDraining(ctx context.Context, request *Request) {
	if !h.drain.listenerClosed.Load() {
		return
	}
	h.metrics.acceptedDraining()
	h.requestLog.acceptedDraining(request, h.drain.elapsed(request.Received), callerConnOf(ctx))
}

// writeSlack is how long after its limit an answer may still be on its way to
// a caller that reads slowly.
const writeSlack = 2 * time.Second

// setWriteDeadline ends writes to a caller that does not read. Its answer would else be
// held for good.
func (h *handler) setWriteDeadline(w http.ResponseWriter, request *Request) {
	control := http.NewResponseController(w)
	// Connections of tests have no deadlines; those of callers do.
	_ = control.SetWriteDeadline(time.Now().Add(request.Timeout + writeSlack))
}

// readBody reads the whole body, so that a request that breaks off on its way
// in is never sent on. It returns the bytes counted in.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request, request *Request, view *knowledge.View) (int64, *Refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return 0, nil
	}
	most := int64(view.Index.Configuration.Limits.BodyBytes)
	counted := max(r.ContentLength, 0)
	if most > 0 && counted > most {
		return 0, &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonBodyTooLarge}
	}
	if h.bodyBytes.Add(counted) > h.settings.get().BodyMemory {
		return counted, &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonMemory, RetryAfter: startRetryAfter}
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(request.Timeout)) // as in bound
	body := io.Reader(r.Body)
	if most > 0 {
		body = http.MaxBytesReader(w, r.Body, most)
	}
	data, err := io.ReadAll(body)
	// The deadline would else end the read that notices a leaving caller.
	_ = control.SetReadDeadline(time.Time{})
	request.Body = data
	if more := int64(len(data)) - counted; more > 0 {
		h.bodyBytes.Add(more)
		counted += more
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return counted, &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonBodyTooLarge}
	case err != nil:
		return counted, &Refusal{Status: http.StatusBadRequest, Reason: ReasonBodyTimeout}
	}
	return counted, nil
}

// serve sends an identified request to a backend server.
func (h *handler) serve(ctx context.Context, w http.ResponseWriter, request *Request) {
	h.budget.credit(request.Service)
	if refusal := h.awaitVerdicts(ctx, request); refusal != nil {
		h.refuse(w, request, *refusal)
		return
	}
	run := &relay{handler: h, request: request, writer: w, excluded: make(map[string]bool)}
	run.loop(ctx)
}

// suspectRetryAfter is the time to come back for a request that breaks backend
// servers. It is long, as nothing will have changed.
const suspectRetryAfter = 5 * time.Second

// refusalBody is the body of an answer of the router's own.
type refusalBody struct {
	Error Reason `json:"error"`
}

// writeHead writes the head of an answer. A request may have come before the signal to stop,
// so it is known only now whether its connection will be closed.
func (h *handler) writeHead(w http.ResponseWriter, status int) {
	if h.drain.draining() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
}

// refuse answers a request that no backend server has answered.
func (h *handler) refuse(w http.ResponseWriter, request *Request, refusal Refusal) {
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
	_, _ = w.Write(body) // a caller that has gone needs no answer
}
