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
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

const (
	// judgeInterval is the pause between two looks at pending breaks, half of
	// breakStepMost, so that a late look loses no watched time.
	judgeInterval = maxJudgeGap / 2
	// holdPollInterval is the pause between two looks at the breaks of a held request.
	holdPollInterval = 20 * time.Millisecond
	// maxHold is how long a request is held. A server that lives and streams to other
	// callers shows it sooner, as breakMargin and two looks have passed by then; for a
	// later verdict the caller comes back.
	maxHold = 500 * time.Millisecond
)

// judgeResets gives broken connections their verdicts until the context ends.
func (h *handler) judgeResets(ctx context.Context) error {
	return every(ctx, judgeInterval, func() { h.judgeDue(boottime.Now()) })
}

// judgeDue gives the verdicts that are due, unless that was done a moment ago.
func (h *handler) judgeDue(now boottime.Instant) {
	if !h.crashDetector.due(now) {
		return
	}
	reports := h.serverReports()
	for _, judged := range h.crashDetector.judge(now, func(incarnation string) serverReport { return reports[incarnation] }) {
		h.applyVerdict(judged)
	}
}

// serverReports returns what is known of the incarnations with pending breaks. A crash
// breaks all requests there, and new ones can't be sent.
func (h *handler) serverReports() map[string]serverReport {
	reports := make(map[string]serverReport)
	for _, incarnation := range h.crashDetector.incarnations() {
		reports[incarnation] = reportUnlisted
	}
	if len(reports) == 0 {
		return reports
	}
	for _, backend := range h.state.View().Backends {
		if _, broken := reports[backend.Incarnation]; broken {
			reports[backend.Incarnation] = h.serverReport(backend)
		}
	}
	return reports
}

func (h *handler) serverReport(backend *knowledge.Backend) serverReport {
	own, _ := h.admission.loads.get(backend.Incarnation)
	if own.Running+h.admission.peers.Load(backend.IncarnationHash).Running > 0 {
		return reportRunning
	}
	return reportIdle
}

// applyVerdict counts breaks by their verdict, and those by crashes against their requests.
func (h *handler) applyVerdict(judged judgedResets) {
	if len(judged.fingerprints) == 0 {
		return
	}
	h.metrics.resetsJudged(judged.verdict, len(judged.fingerprints))
	h.requestLog.resetsJudged(judged)
	if judged.verdict != resetServerDown {
		return
	}
	for _, print := range judged.fingerprints {
		h.suspects.crashed(print)
	}
}

// dataReceived notes that data of a backend server's were read now, for a request that was sent
// at the moment.
func (h *handler) dataReceived(backend *knowledge.Backend, sent, now boottime.Instant) {
	h.applyVerdict(h.crashDetector.dataReceived(backend.Incarnation, sent, now))
}

// observeConnectError notes a connection that a backend server refused, for a request that was
// placed at the moment.
func (h *handler) observeConnectError(backend *knowledge.Backend, placed boottime.Instant, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) && backendconn.ProgressOf(err) == backendconn.ProgressNone {
		h.crashDetector.connectionRefused(backend.Incarnation, placed)
	}
}

// awaitVerdicts holds a request back for a moment that will be refused if its pending
// breaks turn out to be crashes: a caller that tries again at once would else break a
// server with each try until the first verdict. It returns the refusal, nil to run the
// request.
func (h *handler) awaitVerdicts(ctx context.Context, request *Request) *Refusal {
	until := boottime.Now().Add(maxHold)
	for held := false; ; held = true {
		convicted := h.suspects.count(request.Fingerprint)
		if convicted >= maxCrashes {
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonSuspect, RetryAfter: suspectRetryAfter}
		}
		if convicted+h.crashDetector.pendingFor(request.Fingerprint) < maxCrashes {
			if held {
				return h.identifyAgain(request)
			}
			return nil
		}
		if boottime.Now() >= until {
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonSuspect, RetryAfter: silenceTimeout}
		}
		select {
		case <-ctx.Done():
			return h.holdEndedRefusal(ctx, request)
		case <-time.After(holdPollInterval):
			h.judgeDue(boottime.Now())
		}
	}
}

// identifyAgain returns the refusal of a request that was held, nil to run it: its key may
// have been withdrawn meanwhile, or what is known may have become too old for it.
func (h *handler) identifyAgain(request *Request) *Refusal {
	again := *request
	return identify(&again, h.state.View(), h.settings.get().Freshness, rand.Float64())
}

// holdEndedRefusal returns the refusal of a request that was held until its time ran out, its
// caller left or draining ended. It has not run.
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
