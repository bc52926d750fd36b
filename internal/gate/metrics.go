package gate

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the gate's counters. Their labels are bounded by the routes'
// kinds, the statuses and the reasons, never by accounts or requests.
type metrics struct {
	answers  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	resets   *prometheus.CounterVec
	first    prometheus.Histogram
	zones    prometheus.Gauge // evacuated
	era      prometheus.Gauge // of the store
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_answers_total",
			Help: "Answers of backend servers handed to callers, by status.",
		}, []string{"status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_refusals_total",
			Help: "Answers of the router's own, by status and reason.",
		}, []string{"status", "reason"}),
		resets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebellchute_gate_resets_total",
			Help: "Connections that broke while a request ran, by what became of the backend server.",
		}, []string{"verdict"}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "bluebell_gate_first_event_seconds",
			Help:    "Time from a streamed request's arrival to its first event.",
			Buckets: prometheus.ExponentialBuckets(0.01, 1.8, 12),
		}),
	}
	m.zones = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "bluebell_gate_evacuated_zones",
		Help: "Availability zones whose backend servers get no new requests.",
	})
	m.era = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "bluebell_gate_store_era",
		Help: "How often the store has come back from an older copy, as it told last; 0 if it does not tell.",
	})
	registerer.MustRegister(m.answers, m.refusals, m.resets, m.first, m.zones, m.era)
	return m
}

func (m *metrics) answered(status int) {
	m.answers.WithLabelValues(strconv.Itoa(status)).Inc()
}

func (m *metrics) refused(refusal Refusal) {
	m.refusals.WithLabelValues(strconv.Itoa(refusal.Status), string(refusal.Reason)).Inc()
}

func (m *metrics) judged(verdict breakVerdict, count int) {
	m.resets.WithLabelValues(string(verdict)).Add(float64(count))
}

func (m *metrics) evacuated(zones int) { m.zones.Set(float64(zones)) }

func (m *metrics) storeEra(era uint64) { m.era.Set(float64(era)) }

func (m *metrics) firstEvent(took time.Duration) {
	m.first.Observe(took.Seconds())
}
