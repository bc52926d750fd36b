package gate

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/backendconn"
	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

const (
	// holdPollInterval is the interval at which the resets of a held request are checked.
	holdPollInterval = 20 * time.Millisecond
	// maxHold is how long a request is held. If its server is alive and streams to other
	// callers, that shows within oldConnectionMargin and two checks; for a later verdict
	// the caller has to retry.
	maxHold = 500 * time.Millisecond
)

// judgeResets judges reset connections until the context ends.
func (h *handler) judgeResets(ctx context.Context) error {
	return every(ctx, crash.JudgeInterval, func() {
		h.judgeDue(boottime.Now())
		h.refusedSegments.observe(boottime.Now())
	})
}

// judgeDue judges the pending resets, unless that has just been done.
func (h *handler) judgeDue(now boottime.Instant) {
	if !h.crashDetector.Due(now) {
		return
	}
	reports := h.serverReports()
	for _, judged := range h.crashDetector.Judge(now, func(incarnation string) crash.Report { return reports[incarnation] }) {
		h.applyVerdict(judged)
	}
}

// serverReports returns the reports on the incarnations with pending resets. A crash
// resets all connections there, and no new requests can be sent to it.
func (h *handler) serverReports() map[string]crash.Report {
	reports := make(map[string]crash.Report)
	for _, incarnation := range h.crashDetector.Incarnations() {
		reports[incarnation] = crash.ReportUnlisted
	}
	if len(reports) == 0 {
		return reports
	}
	for _, backend := range h.state.View().Backends {
		if _, pending := reports[backend.Incarnation]; pending {
			reports[backend.Incarnation] = h.serverReport(backend)
		}
	}
	return reports
}

// serverReport returns the report on a listed backend server.
func (h *handler) serverReport(backend *knowledge.Backend) crash.Report {
	own, _ := h.admission.loads.get(backend.Incarnation)
	if own.Running+h.admission.peers.Load(backend.IncarnationHash).Running > 0 {
		return crash.ReportRunning
	}
	return crash.ReportIdle
}

// applyVerdict counts resets by their verdict, and counts crashes against the requests that
// were running.
func (h *handler) applyVerdict(judged crash.JudgedResets) {
	if len(judged.Fingerprints) == 0 {
		return
	}
	h.metrics.resetsJudged(judged.Verdict, len(judged.Fingerprints))
	h.requestLog.resetsJudged(judged)
	if judged.Verdict != crash.ServerDown {
		return
	}
	now := boottime.Now()
	for _, fingerprint := range judged.Fingerprints {
		h.suspects.Crashed(fingerprint, now)
	}
	h.segments.Crashed(knowledge.IncarnationHash(judged.Incarnation), judged.At, judged.Segments, now)
}

// dataReceived records that data from a backend server was read at now, for a request sent
// at the given time.
func (h *handler) dataReceived(backend *knowledge.Backend, sent, now boottime.Instant) {
	h.applyVerdict(h.crashDetector.DataReceived(backend.Incarnation, sent, now))
}

// observeConnectError records the error if the backend server refused a connection for a
// request that was placed at the given time.
func (h *handler) observeConnectError(backend *knowledge.Backend, placed boottime.Instant, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) && backendconn.ProgressOf(err) == backendconn.ProgressNone {
		h.crashDetector.ConnectionRefused(backend.Incarnation, placed)
	}
}

// awaitVerdicts briefly holds a request that has to be refused if its pending resets turn
// out to be crashes. Otherwise a caller that retries immediately would crash a server with
// each attempt until the first verdict. It returns the refusal, or nil to run the request.
func (h *handler) awaitVerdicts(ctx context.Context, request *Request) *Refusal {
	deadline := boottime.Now().Add(maxHold)
	maxCrashes := crash.MaxCrashes
	if request.OriginKnown.onRecord() {
		maxCrashes = crash.MaxStreamCrashes
	}
	for held := false; ; held = true {
		crashes := h.suspects.Count(request.Fingerprint, boottime.Now())
		if crashes >= maxCrashes {
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonSuspect, RetryAfter: suspectRetryAfter}
		}
		if crashes+h.crashDetector.PendingFor(request.Fingerprint) < maxCrashes {
			if held {
				return h.identifyAgain(request)
			}
			return nil
		}
		if boottime.Now() >= deadline {
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonSuspect, RetryAfter: crash.SilenceTimeout}
		}
		select {
		case <-ctx.Done():
			return h.holdEndedRefusal(ctx, request)
		case <-time.After(holdPollInterval):
			h.judgeDue(boottime.Now())
		}
	}
}

// identifyAgain returns the refusal of a request that was held, or nil to run it. Its key
// may have been withdrawn meanwhile, or the fleet state may have become too old for it.
func (h *handler) identifyAgain(request *Request) *Refusal {
	copied := *request
	return identify(&copied, h.state.View(), h.settings.get().Freshness, rand.Float64())
}

// holdEndedRefusal returns the refusal of a request that was held until its time ran out,
// its caller disconnected or draining ended. It has not run.
func (h *handler) holdEndedRefusal(ctx context.Context, request *Request) *Refusal {
	if cancelledByDrain(ctx) {
		refusal := drainRefusal()
		return &refusal
	}
	refusal := &Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     ReasonTooLate,
		RetryAfter: h.admission.retryAfter(request),
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		refusal.Reason = ReasonCallerGone
	}
	return refusal
}
