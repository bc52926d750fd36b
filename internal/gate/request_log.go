package gate

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
)

const (
	// failuresPerSecond and failuresBurst bound the log entries on requests that failed, as
	// entries cost small VMs much of their processor time.
	failuresPerSecond = 20
	failuresBurst     = 100
	// answersPerSecond and answersBurst bound the log entries on requests that succeeded,
	// which are a sample.
	answersPerSecond = 2
	answersBurst     = 10
	// maxLoggedSegments bounds the segments of a prompt that a record names.
	maxLoggedSegments = 8
	// droppedInterval is the interval at which the number of dropped entries is logged.
	droppedInterval = 5 * time.Second
	// countsInterval is the interval at which request counts are logged.
	countsInterval = time.Second
)

// requestLog logs the decisions on requests, at a bounded rate.
type requestLog struct {
	logger       logrus.FieldLogger
	state        *knowledge.State
	failureLimit *rate.Limiter
	answerLimit  *rate.Limiter
	dropped      atomic.Int64
	counts       *requestCounts
	// inputs returns the current inputs of placement decisions.
	inputs func() logrus.Fields
}

func newRequestLog(logger logrus.FieldLogger, state *knowledge.State, inputs func() logrus.Fields) *requestLog {
	return &requestLog{
		counts:       newRequestCounts(),
		inputs:       inputs,
		logger:       logger,
		state:        state,
		failureLimit: rate.NewLimiter(failuresPerSecond, failuresBurst),
		answerLimit:  rate.NewLimiter(answersPerSecond, answersBurst),
	}
}

// Run periodically logs the request counts and the number of dropped entries until the
// context ends.
func (r *requestLog) Run(ctx context.Context) error {
	droppedTicker := time.NewTicker(droppedInterval)
	defer droppedTicker.Stop()
	countsTicker := time.NewTicker(countsInterval)
	defer countsTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-countsTicker.C:
			r.counts.write(r.logger, r.inputs())
		case <-droppedTicker.C:
			if count := r.dropped.Swap(0); count > 0 {
				event.GateRecordsSuppressed.Log(r.logger, logrus.Fields{"count": count})
			}
		}
	}
}

// allows reports whether an entry may be written, and counts it as dropped if not.
func (r *requestLog) allows(limiter *rate.Limiter) bool {
	if limiter.Allow() {
		return true
	}
	r.dropped.Add(1)
	return false
}

// write writes an entry if the limiter allows it.
func (r *requestLog) write(limiter *rate.Limiter, which event.Event, request *Request, fields logrus.Fields) {
	if r.allows(limiter) {
		r.writeFields(which, request, fields)
	}
}

// writeFields writes an entry.
func (r *requestLog) writeFields(which event.Event, request *Request, fields logrus.Fields) {
	if request != nil {
		fields["request"] = request.ID
		fields["service"] = request.Service
		fields["elapsed_ms"] = boottime.Now().Sub(request.Received).Milliseconds()
		if request.Route != nil {
			fields["route"] = request.Route.Name
		}
		if request.Account != nil {
			fields["account"] = request.Account.Name
		}
	}
	view := r.state.View()
	fields["config_version"] = view.Version()
	fields["config_age_ms"] = boottime.Now().Sub(view.ConfigurationConfirmedAt).Milliseconds()
	which.Log(r.logger, fields)
}

func (r *requestLog) refused(request *Request, refusal Refusal) {
	r.counts.addRefusal(request, refusal.Reason)
	if !r.allows(r.failureLimit) {
		return // avoids building entries that are dropped in a flood of refusals
	}
	fields := logrus.Fields{
		"reason":         refusal.Reason,
		"status":         refusal.Status,
		"retry_after_ms": refusal.RetryAfter.Milliseconds(),
	}
	addInputs(fields, refusal.Inputs)
	addConviction(fields, request, refusal.Conviction)
	r.addOrigin(fields, request)
	r.writeFields(event.GateRefused, request, fields)
}

// addInputs adds the inputs of a request's placement.
func addInputs(fields logrus.Fields, inputs Inputs) {
	if inputs.Tier != policy.TierOwed {
		fields["tier"] = inputs.Tier
	}
	if inputs.ShareUsed > 0 {
		fields["standing"] = math.Round(inputs.ShareUsed*100) / 100
	}
	if inputs.Plain {
		fields["backend"] = inputs.Backend
		fields["wait_ms"] = inputs.Wait.Milliseconds()
		fields["budget_ms"] = inputs.Budget.Milliseconds()
		return
	}
	if inputs.Budget == 0 {
		return
	}
	fields["backend"] = inputs.Backend
	fields["ahead_ms"] = inputs.Ahead.Milliseconds()
	fields["budget_ms"] = inputs.Budget.Milliseconds()
	fields["shared"] = inputs.Shared
	if inputs.Gap > 0 {
		fields["prefill_ms"] = inputs.Prefill.Milliseconds()
		fields["gap_ms"] = inputs.Gap.Milliseconds()
	}
}

func (r *requestLog) declined(request *Request, backend *knowledge.Backend, status int, replaced bool) {
	r.write(r.failureLimit, event.GateDeclined, request, logrus.Fields{
		"backend":  backend.ID,
		"status":   status,
		"replaced": replaced,
	})
}

// backendDraining logs that a backend server has reported for the first time that it
// drains.
func (r *requestLog) backendDraining(backend *knowledge.Backend) {
	event.GateBackendDraining.Log(r.logger, logrus.Fields{"backend": backend.ID})
}

// backendRejecting logs that a backend server has started to reject new requests, and for
// how long.
func (r *requestLog) backendRejecting(backend *knowledge.Backend, lasts time.Duration) {
	event.GateBackendUnavailable.Log(r.logger, logrus.Fields{"backend": backend.ID, "for_ms": lasts.Milliseconds()})
}

// sendFailed logs that a request failed at a backend server, which had been sending whole events
// since eventsSince, 0 for none. The record names the shared segments of the prompt: requests
// that fail together when a server goes down may have one in common.
func (r *requestLog) sendFailed(request *Request, backend *knowledge.Backend, eventsSince boottime.Instant, err error) {
	if !r.allows(r.failureLimit) {
		return
	}
	fields := logrus.Fields{"backend": backend.ID, "version": backend.Version, "error": err.Error()}
	if segments := request.Prompt.SharedSegments(); len(segments) > 0 {
		logged := segments[:min(len(segments), maxLoggedSegments)]
		fields["segments"] = lo.Map(logged, func(segment PromptSegment, _ int) string { return segment.ID })
	}
	if eventsSince != 0 {
		fields["events_ms"] = boottime.Now().Sub(eventsSince).Milliseconds()
	}
	r.writeFields(event.GateSendFailed, request, fields)
}

// resetsJudged logs the verdict on reset connections at a backend server.
func (r *requestLog) resetsJudged(judged crash.JudgedResets) {
	r.write(r.failureLimit, event.GateDisconnectsClassified, nil, logrus.Fields{
		"incarnation": judged.Incarnation,
		"server":      serverName(knowledge.IncarnationHash(judged.Incarnation)),
		"verdict":     judged.Verdict,
		"count":       len(judged.Fingerprints),
	})
}

func (r *requestLog) badAnswer(request *Request, backend *knowledge.Backend, status int) {
	r.write(r.failureLimit, event.GateBadAnswer, request, logrus.Fields{"backend": backend.ID, "status": status})
}

func (r *requestLog) failed(request *Request, backend *knowledge.Backend, status int) {
	r.write(r.failureLimit, event.GateBackendFailed, request, logrus.Fields{"backend": backend.ID, "status": status})
}

// streamAborted logs that a stream ends early, because of the backend server or the end of
// draining. The refusal says why it did not go on at another backend server.
func (r *requestLog) streamAborted(request *Request, refusal Refusal, sends int, drained bool) {
	r.counts.addAnswer(request, false, false)
	if !r.allows(r.failureLimit) {
		return
	}
	fields := logrus.Fields{"sends": sends, "drained": drained, "reason": refusal.Reason}
	addInputs(fields, refusal.Inputs)
	r.addOrigin(fields, request)
	r.writeFields(event.GateStreamAborted, request, fields)
}

// addOrigin adds what is known of the begin of a stream that goes on, and at how many backend
// servers it could.
func (r *requestLog) addOrigin(fields logrus.Fields, request *Request) {
	if request == nil || request.Software == 0 && request.OriginKnown == "" {
		return
	}
	if request.OriginKnown != "" {
		fields["resumes"], fields["origin"] = request.Resumes, request.OriginKnown
	}
	if request.Software != 0 {
		fields["version_servers"] = len(servingFor(r.state.View(), request))
	}
}

// callerDisconnected logs that a request ended because its caller had disconnected; connected
// reports that it had not.
func (r *requestLog) callerDisconnected(request *Request, connected bool) {
	r.counts.count(request, func(route *RouteCounts) { route.Disconnected++ })
	if connected {
		r.write(r.failureLimit, event.GateCallerDisconnected, request, logrus.Fields{"connected": true})
		return
	}
	r.write(r.answerLimit, event.GateCallerDisconnected, request, logrus.Fields{})
}

// acceptedDraining logs a request that is accepted after the listener was closed, with the
// time since the stop signal. conn is nil if unknown.
func (r *requestLog) acceptedDraining(request *Request, since time.Duration, conn *callerConn) {
	if !r.allows(r.failureLimit) {
		return
	}
	now := boottime.Now()
	fields := logrus.Fields{"since_stop_ms": since.Milliseconds(), "left_ms": request.Remaining(now).Milliseconds()}
	if conn != nil {
		fields["connection_age_ms"] = now.Sub(conn.opened).Milliseconds()
		fields["connection_requests"] = conn.requests.Load()
	}
	r.writeFields(event.GateAdmittedWhileDraining, request, fields)
}

// endedDraining logs how many requests were still in progress when draining ended.
func (r *requestLog) endedDraining(count int) {
	event.GateAbortedByDrain.Log(r.logger, logrus.Fields{"count": count})
}

func (r *requestLog) answered(request *Request, placed *placement, status, sends int, late bool, err error) {
	r.counts.addAnswer(request, status < http.StatusMultipleChoices && err == nil, late)
	limiter := r.answerLimit
	if status >= http.StatusInternalServerError || sends > 1 {
		limiter = r.failureLimit
	}
	if !r.allows(limiter) {
		return
	}
	fields := logrus.Fields{"status": status, "sends": sends, "late": late}
	addInputs(fields, placed.inputs)
	fields["backend"], fields["version"] = placed.backend.ID, placed.backend.Version
	if err != nil {
		fields["error"] = err.Error()
	}
	r.writeFields(event.GateAnswered, request, fields)
}
