package gate

import (
	"cmp"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/pace"
)

const (
	// paceLogInterval is the minimum interval between two log entries on changed paces.
	paceLogInterval = time.Second
	// minLoggedChange is the relative change of a usual work time from which it is logged.
	minLoggedChange = 0.25
)

// The results of load reports.
const (
	reportTaken        = "taken"
	reportMalformed    = "malformed"
	reportContradicted = "contradicted"
)

// paceMonitor exports paces as metrics and logs their changes.
type paceMonitor struct {
	logger  logrus.FieldLogger
	reports *prometheus.CounterVec
	// The fields below are used only while a snapshot is built, under its lock.
	recorded   map[uint32]recordedPace
	recordedAt boottime.Instant
}

// recordedPace is the last logged state of a backend server.
type recordedPace struct {
	usual        float64
	contradicted bool
}

// export starts exporting the paces as metrics and log entries.
func (p *paces) export(logger logrus.FieldLogger, registerer prometheus.Registerer) {
	monitor := &paceMonitor{
		logger: logger,
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_load_reports_total",
			Help: "Reports of load that backend servers sent with answers, by what became of them.",
		}, []string{"result"}),
		recorded: make(map[uint32]recordedPace),
	}
	registerer.MustRegister(monitor.reports, &paceCollector{paces: p})
	p.monitor.Store(monitor)
}

// count counts a load report.
func (m *paceMonitor) count(result string) {
	if m != nil {
		m.reports.WithLabelValues(result).Inc()
	}
}

// logChange logs one backend server whose pace has changed, if a log entry is due. Others
// are logged by later calls.
func (m *paceMonitor) logChange(built *paceSnapshot) {
	if m == nil || built.builtAt.Sub(m.recordedAt) < paceLogInterval {
		return
	}
	for hash := range m.recorded {
		if built.listed[hash] == nil {
			delete(m.recorded, hash)
		}
	}
	written := false
	built.snapshot.Each(func(hash uint32, estimate pace.Estimate) {
		backend := built.listed[hash]
		if backend == nil {
			return
		}
		before, known := m.recorded[hash]
		if known && !before.differs(estimate) {
			return
		}
		if known || estimate.Contradicted { // the first report of a server is no change
			if written {
				return
			}
			written = true
			m.write(backend.ID, before, estimate)
		}
		m.recorded[hash] = recordedPace{usual: estimate.Usual, contradicted: estimate.Contradicted}
	})
	if written {
		m.recordedAt = built.builtAt
	}
}

// differs reports whether the estimate is worth a log entry after the last logged one.
func (r recordedPace) differs(engine pace.Estimate) bool {
	change := engine.Usual / r.usual
	return change >= 1+minLoggedChange || change <= 1-minLoggedChange || (engine.Contradicted && !r.contradicted)
}

func (m *paceMonitor) write(backend string, before recordedPace, estimate pace.Estimate) {
	fields := logrus.Fields{
		"backend":      backend,
		"told":         estimate.Reported,
		"age_ms":       ageMilliseconds(estimate.Age),
		"contradicted": estimate.Contradicted,
	}
	if estimate.Seen > 0 {
		fields["seen"] = estimate.Seen
	}
	if before.usual > 0 {
		fields["before"] = before.usual
	}
	event.GateEnginePace.Log(m.logger, fields)
}

// ageMilliseconds returns the age in milliseconds, -1 if it is unknown, which a negative
// age stands for.
func ageMilliseconds(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// paceCollector exports the usual work times of each service's servers.
type paceCollector struct{ paces *paces }

var workTimeMetric = prometheus.NewDesc("bluebell_gate_engine_work_time",
	"Usual work time of a service's backend servers, 1 as usual for the fleet's machines.", []string{"service", "which"}, nil)

// Describe implements prometheus.Collector.
func (c *paceCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- workTimeMetric
}

// Collect implements prometheus.Collector.
func (c *paceCollector) Collect(metrics chan<- prometheus.Metric) {
	for service, usual := range c.paces.current().workTimes() {
		slices.Sort(usual)
		for which, value := range map[string]float64{
			"fastest": usual[0],
			"middle":  usual[len(usual)/2],
			"slowest": usual[len(usual)-1],
		} {
			metrics <- prometheus.MustNewConstMetric(workTimeMetric, prometheus.GaugeValue, value, string(service), which)
		}
	}
}

// workTimes returns the usual work times of the listed servers that report one.
func (b *paceSnapshot) workTimes() map[fleet.Service][]float64 {
	usual := make(map[fleet.Service][]float64)
	b.snapshot.Each(func(server uint32, engine pace.Estimate) {
		if backend := b.listed[server]; backend != nil {
			usual[backend.Service] = append(usual[backend.Service], engine.Usual)
		}
	})
	return usual
}

// EnginePace is the pace of a backend server as a router knows it.
type EnginePace struct {
	ID       string
	Service  fleet.Service
	Zone     fleet.Zone
	Estimate pace.Estimate
	Running  int // requests there, from all routers
}

// enginePaces returns the listed servers that report a work time, sorted by id.
func (a *admission) enginePaces() []EnginePace {
	built := a.paces.current()
	var engines []EnginePace
	built.snapshot.Each(func(server uint32, engine pace.Estimate) {
		backend := built.listed[server]
		if backend == nil {
			return
		}
		own, _ := a.loads.get(backend.Incarnation)
		engines = append(engines, EnginePace{
			ID:       backend.ID,
			Service:  backend.Service,
			Zone:     backend.Zone,
			Estimate: engine,
			Running:  own.Add(a.peers.Load(server)).Running,
		})
	})
	slices.SortFunc(engines, func(x, y EnginePace) int { return cmp.Compare(x.ID, y.ID) })
	return engines
}
