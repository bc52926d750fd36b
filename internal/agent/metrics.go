package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// metrics counts what the agent does.
type metrics struct {
	admitted   prometheus.Counter
	refused    *prometheus.CounterVec
	ended      *prometheus.CounterVec
	grants     prometheus.Counter
	asked      prometheus.Counter
	reports    prometheus.Counter
	verdicts   prometheus.Counter
	freeSlots  prometheus.Gauge
	tables     tableGauges
	heldBytes  prometheus.Gauge
	backendUp  prometheus.Gauge
	stepTime   prometheus.Histogram
	costSettle prometheus.Counter
}

// tableGauges are the gauges of the tables' rows. They are looked up once,
// because they are set after every step.
type tableGauges struct {
	requests, ended, routers, offers, accounts, grants, keys prometheus.Gauge
}

func newTableGauges(rows *prometheus.GaugeVec) tableGauges {
	return tableGauges{
		requests: rows.WithLabelValues("requests"),
		ended:    rows.WithLabelValues("ended"),
		routers:  rows.WithLabelValues("routers"),
		offers:   rows.WithLabelValues("offers"),
		accounts: rows.WithLabelValues("accounts"),
		grants:   rows.WithLabelValues("grants"),
		keys:     rows.WithLabelValues("keys"),
	}
}

// stepBuckets are seconds from 1 microsecond to 65 milliseconds.
var stepBuckets = prometheus.ExponentialBuckets(1e-6, 4, 9)

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		admitted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bluebell_agent_admitted_total", Help: "Requests admitted."}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_agent_refused_total", Help: "Dispatches refused, by reason."}, []string{"reason"}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_agent_ended_total", Help: "Requests ended, by state."}, []string{"state"}),
		grants: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bluebell_agent_grants_total", Help: "Slots granted to routers."}),
		asked: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bluebell_agent_asked_total", Help: "Routers asked for work."}),
		reports: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bluebell_agent_reports_total", Help: "Reports of charges sent to homes."}),
		verdicts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bluebell_agent_verdicts_total", Help: "Requests found suspect or convicted here."}),
		freeSlots: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bluebell_agent_free_slots", Help: "Slots that nothing uses and nobody was promised."}),
		heldBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bluebell_agent_held_bytes", Help: "Bytes of finished answers that wait for acknowledgement."}),
		backendUp: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bluebell_agent_backend_up", Help: "1 while the backend server answers."}),
		stepTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "bluebell_agent_step_seconds", Help: "Time of one step of the decisions.", Buckets: stepBuckets}),
		costSettle: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bluebell_agent_settled_cost_total", Help: "Cost units settled."}),
	}
	rows := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "bluebell_agent_table_rows", Help: "Rows of the tables, by table."}, []string{"table"})
	m.tables = newTableGauges(rows)
	registerer.MustRegister(rows, m.admitted, m.refused, m.ended, m.grants, m.asked, m.reports, m.verdicts,
		m.freeSlots, m.heldBytes, m.backendUp, m.stepTime, m.costSettle)
	return m
}

// count counts one command of the world.
func (m *metrics) count(command Command) {
	switch c := command.(type) {
	case Reply:
		m.countAnswer(c.Answer)
	case Seal:
		m.ended.WithLabelValues(stateLabel(c.State)).Inc()
		m.costSettle.Add(float64(c.Cost))
	case SendGrants:
		m.grants.Add(float64(len(c.Grants)))
	case AskRouter:
		m.asked.Inc()
	case SendReport:
		m.reports.Inc()
	case SpreadVerdict:
		m.verdicts.Inc()
	case SetFreeSlots:
		m.freeSlots.Set(float64(c.FreeSlots))
	}
}

func (m *metrics) countAnswer(answer Answer) {
	switch a := answer.(type) {
	case Admitted:
		m.admitted.Inc()
	case Refused:
		m.refused.WithLabelValues(refusalLabel(a.Reason)).Inc()
	}
}

func stateLabel(state rpc.RequestState) string {
	switch state {
	case rpc.RequestState_REQUEST_STATE_COMPLETE:
		return "complete"
	case rpc.RequestState_REQUEST_STATE_FENCED:
		return "fenced"
	default:
		return "failed"
	}
}

func refusalLabel(reason rpc.RefusalReason) string {
	switch reason {
	case rpc.RefusalReason_REFUSAL_REASON_NO_SLOT:
		return "no_slot"
	case rpc.RefusalReason_REFUSAL_REASON_LEAVING:
		return "leaving"
	case rpc.RefusalReason_REFUSAL_REASON_GRANT_LAPSED:
		return "grant_lapsed"
	case rpc.RefusalReason_REFUSAL_REASON_FENCED:
		return "fenced"
	case rpc.RefusalReason_REFUSAL_REASON_CONVICTED:
		return "convicted"
	case rpc.RefusalReason_REFUSAL_REASON_DEADLINE:
		return "deadline"
	case rpc.RefusalReason_REFUSAL_REASON_BACKEND_DOWN:
		return "backend_down"
	case rpc.RefusalReason_REFUSAL_REASON_WRONG_SERVICE:
		return "wrong_service"
	case rpc.RefusalReason_REFUSAL_REASON_DUPLICATE:
		return "duplicate"
	default:
		return "unspecified"
	}
}

// observe sets the gauges that describe the world.
func (m *metrics) observe(w *World) {
	m.tables.requests.Set(float64(w.requests.Len()))
	m.tables.ended.Set(float64(w.ended.len()))
	m.tables.routers.Set(float64(w.routers.Len()))
	m.tables.offers.Set(float64(w.offers))
	m.tables.accounts.Set(float64(w.accounts.Len()))
	m.tables.grants.Set(float64(w.grants.Len()))
	m.tables.keys.Set(float64(w.guard.len()))
	m.heldBytes.Set(float64(w.heldBytes))
	m.backendUp.Set(0)
	if w.backendUp {
		m.backendUp.Set(1)
	}
}
