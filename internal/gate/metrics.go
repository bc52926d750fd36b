package gate

import (
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bluebellchute/bluebellchute/internal/backendconn"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/eventstream"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// metrics are the gate's metrics. Their labels are bounded by the kinds of routes, the
// statuses and the reasons, never by accounts or requests.
type metrics struct {
	answers          *prometheus.CounterVec
	streamEnds       *prometheus.CounterVec
	continued        *prometheus.CounterVec
	takenUp          *prometheus.CounterVec
	streamRequests   *prometheus.CounterVec
	refusals         *prometheus.CounterVec
	probes           *prometheus.CounterVec
	uncertain        *prometheus.CounterVec
	placed           *prometheus.CounterVec
	disrupts         *prometheus.CounterVec
	silences         *prometheus.CounterVec
	resets           *prometheus.CounterVec
	drainingRequests *prometheus.CounterVec
	firstEventTimes  prometheus.Histogram
	plainWaits       *prometheus.GaugeVec // expected wait by service
	evacuatedZones   prometheus.Gauge
	era              prometheus.Gauge // of the store
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_answers_total",
			Help: "Answers of backend servers handed to callers, by status.",
		}, []string{"status"}),
		streamEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_stream_ends_total",
			Help: "Ends of streams of backend servers, by how the answer marks its end (length, chunks or close) and by where it ended: after an event, inside one, or by an error.",
		}, []string{"framing", "end"}),
		continued: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_streams_continued_total",
			Help: "Streams sent to a backend server that did not begin them, by who resumes (router or caller) and the software version there: same, other, or unknown.",
		}, []string{"by", "version"}),
		takenUp: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_streams_taken_up_total",
			Help: "Streams that callers take up, by how the software version is known at which they began: recorded, only (there was no other), or unknown.",
		}, []string{"origin"}),
		streamRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_stream_requests_total",
			Help: "Requests for streams that can be taken up, by kind (new, or taken_up by its caller) and step: received, or first_event.",
		}, []string{"kind", "step"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_process_probes_total",
			Help: "Probes that show, while the list of backend servers is overdue, whether a process has served since it was listed, by result: answered or lost.",
		}, []string{"result"}),
		uncertain: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_uncertain_streams_total",
			Help: "Streams that began at backend servers which may have started again with another version, by step: began, or confirmed later, from when on they can be taken up.",
		}, []string{"step"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_refusals_total",
			Help: "Answers of the router's own, by status and reason.",
		}, []string{"status", "reason"}),
		placed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_placed_total",
			Help: "Requests for models sent to backend servers, by the availability zone of these: own or other.",
		}, []string{"zone"}),
		disrupts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_disruptive_total",
			Help: "Prompts that would have made streams in progress pause for too long at their homes: moved to another engine, sent all the same or refused.",
		}, []string{"outcome"}),
		silences: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_silent_connections_total",
			Help: "Connections that ended under a request as the backend server was silent, by what ended them: router (a request was not acknowledged) or kernel (its probes or its timeout).",
		}, []string{"by"}),
		resets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_resets_total",
			Help: "Connections that broke while a request ran, by what became of the backend server.",
		}, []string{"verdict"}),
		drainingRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_draining_requests_total",
			Help: "Requests of a process that ends: taken although no connections were accepted any more, and ended as they were in progress at the end.",
		}, []string{"outcome"}),
		firstEventTimes: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "bluebell_gate_first_event_seconds",
			Help:    "Time from a streamed request's arrival to its first event.",
			Buckets: prometheus.ExponentialBuckets(0.01, 1.8, 12),
		}),
	}
	m.plainWaits = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "bluebell_gate_plain_expected_wait_seconds",
		Help: "Wait expected at the plain backend server that was best for the latest request, by service.",
	}, []string{"service"})
	m.evacuatedZones = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "bluebell_gate_evacuated_zones",
		Help: "Availability zones whose backend servers get no new requests.",
	})
	m.era = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "bluebell_gate_store_era",
		Help: "How often the store has come back from an older copy, as it told last; 0 if it does not tell.",
	})
	registerer.MustRegister(m.answers, m.streamEnds, m.continued, m.takenUp, m.streamRequests, m.refusals, m.probes, m.uncertain, m.placed, m.disrupts, m.silences, m.resets, m.drainingRequests, m.firstEventTimes, m.plainWaits, m.evacuatedZones, m.era)
	return m
}

// The outcomes of requests while the process drains.
const (
	drainAccepted = "taken"
	drainEnded    = "ended"
)

func (m *metrics) acceptedDraining() { m.drainingRequests.WithLabelValues(drainAccepted).Inc() }

func (m *metrics) endedDraining(count int) {
	m.drainingRequests.WithLabelValues(drainEnded).Add(float64(count))
}

func (m *metrics) answered(status int) {
	m.answers.WithLabelValues(strconv.Itoa(status)).Inc()
}

// streamTakenUp counts a stream that a caller takes up.
func (m *metrics) streamTakenUp(origin OriginKnown) { m.takenUp.WithLabelValues(string(origin)).Inc() }

// streamRequest counts a request for a stream that can be taken up; began says that its first
// event has come, rather than the request.
func (m *metrics) streamRequest(takenUp, began bool) {
	kind, step := "new", "received"
	if takenUp {
		kind = "taken_up"
	}
	if began {
		step = "first_event"
	}
	m.streamRequests.WithLabelValues(kind, step).Inc()
}

// probed counts a probe of a backend server's process.
func (m *metrics) probed(answered bool) {
	result := "lost"
	if answered {
		result = "answered"
	}
	m.probes.WithLabelValues(result).Inc()
}

// streamUncertain counts a stream that began at a backend server whose version is not certain.
func (m *metrics) streamUncertain() { m.uncertain.WithLabelValues("began").Inc() }

// streamConfirmed counts one whose version has become known.
func (m *metrics) streamConfirmed() { m.uncertain.WithLabelValues("confirmed").Inc() }

// The values of the labels of streams that are continued.
const (
	byRouter       = "router"
	byCaller       = "caller"
	versionSame    = "same"
	versionOther   = "other"
	versionUnknown = "unknown"
)

func (m *metrics) streamContinued(by, version string) { m.continued.WithLabelValues(by, version).Inc() }

// streamEnd says where a stream ended. Its values are those of the metric's label.
type streamEnd string

const (
	endAfterEvent  streamEnd = "after_event"
	endInsideEvent streamEnd = "inside_event"
	endByError     streamEnd = "error"
)

// streamEnded counts the end of a stream; err is that of its last read, io.EOF for a proper
// end.
func (m *metrics) streamEnded(framing backendconn.Framing, err error) {
	end := endByError
	switch {
	case err == io.EOF:
		end = endAfterEvent
	case errors.Is(err, eventstream.ErrInsideEvent):
		end = endInsideEvent
	}
	m.streamEnds.WithLabelValues(string(framing), string(end)).Inc()
}

// sendFailed counts the failure of a request that had been sent, if its backend server was silent.
func (m *metrics) sendFailed(err error) {
	switch {
	case errors.Is(err, backendconn.ErrUnacknowledged):
		m.silences.WithLabelValues("router").Inc()
	case errors.Is(err, syscall.ETIMEDOUT) && backendconn.ProgressOf(err) != backendconn.ProgressNone:
		m.silences.WithLabelValues("kernel").Inc()
	}
}

func (m *metrics) refused(refusal Refusal) {
	m.refusals.WithLabelValues(strconv.Itoa(refusal.Status), string(refusal.Reason)).Inc()
	if refusal.Reason == ReasonDisruptive {
		m.disrupts.WithLabelValues(disruptiveRefused).Inc()
	}
}

// The outcomes of prompts that would interrupt streams in progress.
const (
	disruptiveMoved   = "moved"
	disruptiveSent    = "sent"
	disruptiveRefused = "refused"
)

// placedModel counts a request for a model that is about to be sent.
func (m *metrics) placedModel(placed *placement, own fleet.Zone) {
	zone := "other"
	if placed.backend.Zone == own {
		zone = "own"
	}
	m.placed.WithLabelValues(zone).Inc()
	switch {
	case placed.inputs.Disrupts:
		m.disrupts.WithLabelValues(disruptiveSent).Inc()
	case placed.inputs.Moved:
		m.disrupts.WithLabelValues(disruptiveMoved).Inc()
	}
}

// plainWait records the expected wait of a request to a plain service.
func (m *metrics) plainWait(service fleet.Service, wait time.Duration) {
	m.plainWaits.WithLabelValues(string(service)).Set(wait.Seconds())
}

func (m *metrics) resetsJudged(verdict crash.Verdict, count int) {
	m.resets.WithLabelValues(string(verdict)).Add(float64(count))
}

func (m *metrics) evacuated(zones int) { m.evacuatedZones.Set(float64(zones)) }

func (m *metrics) storeEra(era uint64) { m.era.Set(float64(era)) }

func (m *metrics) firstEvent(took time.Duration) {
	m.firstEventTimes.Observe(took.Seconds())
}
