package engine

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Load is the load report. It shows the state of AgeMS ago.
type Load struct {
	Slots   int   `json:"slots"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"` // running beyond the slots
	AgeMS   int64 `json:"age_ms"`

	at time.Time
}

// refreshLoad updates the load report.
func (e *Engine) refreshLoad(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := len(e.running) + e.plain
	e.load = Load{
		Slots:   e.config.Slots,
		Running: min(running, e.config.Slots),
		Waiting: max(0, running-e.config.Slots),
		at:      now,
	}
}

// report returns the latest load report with its age.
func (e *Engine) report(now time.Time) Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.load
	load.AgeMS = now.Sub(load.at).Milliseconds()
	return load
}

// registerMetrics registers the engine's metrics.
func (e *Engine) registerMetrics() {
	gauge := func(name, help string, read func() float64) {
		options := prometheus.GaugeOpts{Name: "bluebell_standin_" + name, Help: help}
		e.registry.MustRegister(prometheus.NewGaugeFunc(options, func() float64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return read()
		}))
	}
	gauge("running", "Requests in the batch.", func() float64 { return float64(len(e.running) + e.plain) })
	gauge("prefix_hit_tokens", "Prompt tokens found in the prefix cache.", func() float64 { return float64(e.cache.hits) })
	gauge("prefix_miss_tokens", "Prompt tokens worked out.", func() float64 { return float64(e.cache.misses) })
}
