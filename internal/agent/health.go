package agent

import (
	"context"
	"time"
)

// Times of the health checks.
const (
	healthInterval = 250 * time.Millisecond
	healthTimeout  = time.Second
	loadEvery      = 4 // health checks per load report
	// maxHealthFailures is the number of failed checks in a row after which
	// the backend server counts as down. A refused connection counts at once.
	maxHealthFailures = 2
)

// health watches the backend server.
type health struct {
	backend *backend
	world   inputs
	changed func(up bool)

	up       bool
	failures int
	round    int
}

// run checks until the context ends.
func (h *health) run(ctx context.Context) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		h.check()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// check makes one health check and now and then takes a load report.
func (h *health) check() {
	err := h.backend.get(healthPath, nil)
	h.judge(err)
	h.round++
	if !h.up || h.round%loadEvery != 1 {
		return
	}
	var report loadReport
	if err := h.backend.get(loadPath, &report); err == nil {
		h.world.Send(Load{
			Slots:   report.Slots,
			Running: report.Running,
			Waiting: report.Waiting,
			Age:     time.Duration(report.AgeMs) * time.Millisecond,
		})
	}
}

// judge turns the result of a check into a state.
func (h *health) judge(err error) {
	if err == nil {
		h.failures = 0
		h.set(true)
		return
	}
	h.failures++
	if isDialError(err) || h.failures >= maxHealthFailures {
		h.set(false)
	}
}

func (h *health) set(up bool) {
	if h.up == up {
		return
	}
	h.up = up
	h.world.Send(Health{Up: up})
	h.changed(up)
}

// loadReport is the backend server's report, which lags.
type loadReport struct {
	Slots   int   `json:"slots"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	AgeMs   int64 `json:"age_ms"`
}
