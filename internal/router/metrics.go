package router

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/tick"
)

// Metrics counts what a router does.
type Metrics struct {
	finished   *prometheus.CounterVec
	dispatches *prometheus.CounterVec
	refused    *prometheus.CounterVec
	grants     *prometheus.CounterVec
	broken     prometheus.Counter
	resumes    prometheus.Counter
	fences     prometheus.Counter
	offers     prometheus.Counter
	rejected   *prometheus.CounterVec
	waiting    prometheus.Gauge
	inFlight   prometheus.Gauge
	duration   *prometheus.HistogramVec
	tick       prometheus.Histogram
}

// NewMetrics makes the router's metrics and registers them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		finished:   counters("requests_total", "Requests by outcome and failure code.", "outcome", "code"),
		dispatches: counters("dispatches_total", "Requests sent to agents, by what they were sent on.", "on"),
		refused:    counters("refusals_total", "Dispatches that agents refused, by reason.", "reason"),
		grants:     counters("grants_total", "Grants of agents, by use.", "use"),
		rejected:   counters("rejected_total", "Calls that were not accepted, by code.", "code"),
		broken:     counter("broken_connections_total", "Data connections that ended before the answer did."),
		resumes:    counter("resumes_total", "Answers asked for again on a new connection."),
		fences:     counter("fences_total", "Requests fenced at an agent."),
		offers:     counter("offers_total", "Offers sent to agents."),
		waiting:    gauge("waiting_requests", "Requests that wait for a slot."),
		inFlight:   gauge("in_flight_requests", "Requests sent to agents and not yet answered."),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "bluebell", Subsystem: "router", Name: "request_seconds",
			Help:    "Time from a request's arrival to its final result, by outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 3, 12),
		}, []string{"outcome"}),
		tick: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "bluebell", Subsystem: "router", Name: "tick_seconds",
			Help:    "Time that one tick of the decisions takes.",
			Buckets: prometheus.ExponentialBuckets(0.00001, 4, 8),
		}),
	}
	registerer.MustRegister(m.finished, m.dispatches, m.refused, m.grants, m.rejected, m.broken,
		m.resumes, m.fences, m.offers, m.waiting, m.inFlight, m.duration, m.tick)
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "bluebell", Subsystem: "router", Name: name, Help: help,
	}, labels)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "bluebell", Subsystem: "router", Name: name, Help: help,
	})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "bluebell", Subsystem: "router", Name: name, Help: help,
	})
}

// observed is a World whose steps are counted. After each step it publishes the
// load, so that whoever asks for it neither waits for a step nor delays one.
type observed struct {
	world   *World
	metrics *Metrics
	load    atomic.Pointer[load]
}

// load is how much a router holds.
type load struct {
	waiting  int
	inFlight int
}

var _ tick.World[Input, Output] = (*observed)(nil)

// Step implements tick.World.
func (o *observed) Step(now time.Time, inputs []Input) ([]Output, time.Time) {
	for _, input := range inputs {
		o.countInput(input)
	}
	outputs, next := o.world.Step(now, inputs)
	for _, output := range outputs {
		o.countOutput(now, output)
	}
	o.publish(load{waiting: o.world.Waiting(), inFlight: o.world.InFlight()})
	o.metrics.tick.Observe(time.Since(now).Seconds())
	return outputs, next
}

func (o *observed) publish(current load) {
	o.metrics.waiting.Set(float64(current.waiting))
	o.metrics.inFlight.Set(float64(current.inFlight))
	if last := o.load.Load(); last == nil || *last != current {
		o.load.Store(&current)
	}
}

func (o *observed) countInput(input Input) {
	switch event := input.(type) {
	case RunRefused:
		o.metrics.refused.WithLabelValues(event.Reason.String()).Inc()
	case AnswerBroken:
		o.metrics.broken.Inc()
	}
}

func (o *observed) countOutput(now time.Time, output Output) {
	switch command := output.(type) {
	case Finish:
		o.countFinish(now, command)
	case SendRun:
		on := "grant"
		if command.Grant == 0 {
			on = "belief"
		}
		o.metrics.dispatches.WithLabelValues(on).Inc()
	case ReplyGrant:
		o.metrics.grants.WithLabelValues("declined").Add(float64(len(command.Message.Declined)))
	case SendResume:
		o.metrics.resumes.Inc()
	case SendFence:
		o.metrics.fences.Inc()
	case SendOffer:
		o.metrics.offers.Inc()
	}
}

func (o *observed) countFinish(now time.Time, command Finish) {
	result := command.Result
	o.metrics.finished.WithLabelValues(string(result.Outcome), string(result.Code)).Inc()
	if result.Outcome == fleet.OutcomeNotRun {
		return
	}
	o.metrics.duration.WithLabelValues(string(result.Outcome)).Observe(now.Sub(command.Request.Arrived).Seconds())
}
