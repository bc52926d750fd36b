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
	judgeInterval = breakStepMost / 2
	// holdInterval is the pause between two looks at the breaks of a held request.
	holdInterval = 20 * time.Millisecond
	// holdMost is how long a request is held. A server that lives and streams to other
	// callers shows it sooner, as breakMargin and two looks have passed by then; for a
	// later verdict the caller comes back.
	holdMost = 500 * time.Millisecond
)

// judgeBreaks gives broken connections their verdicts until the context ends.
func (h *handler) judgeBreaks(ctx context.Context) error {
	return every(ctx, judgeInterval, func() { h.judge(boottime.Now()) })
}

// judge gives the verdicts that are due, unless that was done a moment ago.
func (h *handler) judge(now boottime.Instant) {
	if !h.breaks.due(now) {
		return
	}
	reports := h.reportsOfBroken()
	for _, judged := range h.breaks.judge(now, func(incarnation string) serverReport { return reports[incarnation] }) {
		h.applyVerdict(judged)
	}
}

// reportsOfBroken returns what is known of the incarnations with pending breaks. A crash
// breaks all requests there, and new ones can't be sent.
func (h *handler) reportsOfBroken() map[string]serverReport {
	reports := make(map[string]serverReport)
	for _, incarnation := range h.breaks.incarnations() {
		reports[incarnation] = reportUnlisted
	}
	if len(reports) == 0 {
		return reports
	}
	for _, backend := range h.state.View().Backends {
		if _, broken := reports[backend.Incarnation]; broken {
			reports[backend.Incarnation] = h.reportOf(backend)
		}
	}
	return reports
}

func (h *handler) reportOf(backend *knowledge.Backend) serverReport {
	own, _ := h.admission.loads.get(backend.Incarnation)
	if own.Running+h.admission.peers.Load(backend.IncarnationHash).Running > 0 {
		return reportRunning
	}
	return reportIdle
}

// applyVerdict counts breaks by their verdict, and those by crashes against their requests.
func (h *handler) applyVerdict(judged judgedBreaks) {
	if len(judged.prints) == 0 {
		return
	}
	h.metrics.judged(judged.verdict, len(judged.prints))
	h.records.judged(judged)
	if judged.verdict != breakServerDown {
		return
	}
	for _, print := range judged.prints {
		h.suspects.broke(print)
	}
}

// heard notes that data of a backend server's were read now, for a request that was sent
// at the moment.
func (h *handler) heard(backend *knowledge.Backend, sent, now boottime.Instant) {
	h.applyVerdict(h.breaks.alive(backend.Incarnation, sent, now))
}

// noteRefusal notes a connection that a backend server refused, for a request that was
// placed at the moment.
func (h *handler) noteRefusal(backend *knowledge.Backend, placed boottime.Instant, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) && backendconn.ProgressOf(err) == backendconn.ProgressNone {
		h.breaks.refused(backend.Incarnation, placed)
	}
}

// awaitVerdicts holds a request back for a moment that will be refused if its pending
// breaks turn out to be crashes: a caller that tries again at once would else break a
// server with each try until the first verdict. It returns the refusal, nil to run the
// request.
func (h *handler) awaitVerdicts(ctx context.Context, request *Request) *Refusal {
	until := boottime.Now().Add(holdMost)
	for held := false; ; held = true {
		convicted := h.suspects.count(request.Fingerprint)
		if convicted >= breaksMost {
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonSuspect, RetryAfter: suspectRetry}
		}
		if convicted+h.breaks.pending(request.Fingerprint) < breaksMost {
			if held {
				return h.identifyAgain(request)
			}
			return nil
		}
		if boottime.Now() >= until {
			return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonSuspect, RetryAfter: breakSilence}
		}
		select {
		case <-ctx.Done():
			return h.endOfHold(ctx, request)
		case <-time.After(holdInterval):
			h.judge(boottime.Now())
		}
	}
}

// identifyAgain returns the refusal of a request that was held, nil to run it: its key may
// have been withdrawn meanwhile, or what is known may have become too old for it.
func (h *handler) identifyAgain(request *Request) *Refusal {
	again := *request
	return identify(&again, h.state.View(), h.settings.get().Freshness, rand.Float64())
}

// endOfHold returns the refusal of a request that was held until its time ran out, its
// caller left or draining ended. It has not run.
func (h *handler) endOfHold(ctx context.Context, request *Request) *Refusal {
	if drained(ctx) {
		refusal := drainRefusal()
		return &refusal
	}
	refusal := &Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     ReasonLate,
		RetryAfter: h.admission.retryAfter(request),
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		refusal.Reason = ReasonCallerGone
	}
	return refusal
}
