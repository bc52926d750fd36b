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
	// paceLogInterval is the pause between two records of changed paces.
	paceLogInterval = time.Second
	// minLoggedChange is the change of a usual work time, as a part of it, that is recorded.
	minLoggedChange = 0.25
)

// The results of reports of load.
const (
	reportTaken        = "taken"
	reportMalformed    = "malformed"
	reportContradicted = "contradicted"
)

// paceMonitor tells operators of paces by metrics and records.
type paceMonitor struct {
	logger  logrus.FieldLogger
	reports *prometheus.CounterVec
	// The fields below are used by whoever builds a snapshot alone.
	recorded   map[uint32]recordedPace
	recordedAt boottime.Instant
}

// recordedPace is what the records tell of a backend server.
type recordedPace struct {
	usual        float64
	contradicted bool
}

// export lets the paces be told by metrics and records.
func (p *paces) export(logger logrus.FieldLogger, registerer prometheus.Registerer) {
	w := &paceMonitor{
		logger: logger,
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bluebell_gate_load_reports_total",
			Help: "Reports of load that backend servers sent with answers, by what became of them.",
		}, []string{"result"}),
		recorded: make(map[uint32]recordedPace),
	}
	registerer.MustRegister(w.reports, &paceCollector{paces: p})
	p.monitor.Store(w)
}

// count counts a report of load.
func (w *paceMonitor) count(result string) {
	if w != nil {
		w.reports.WithLabelValues(result).Inc()
	}
}

// logChange writes a record of one backend server whose pace has changed, if one is due.
// The others' turns come later.
func (w *paceMonitor) logChange(built *paceSnapshot) {
	if w == nil || built.builtAt.Sub(w.recordedAt) < paceLogInterval {
		return
	}
	for server := range w.recorded {
		if built.listed[server] == nil {
			delete(w.recorded, server)
		}
	}
	written := false
	built.snapshot.Each(func(server uint32, engine pace.Estimate) {
		backend := built.listed[server]
		if backend == nil {
			return
		}
		before, known := w.recorded[server]
		if known && !before.differs(engine) {
			return
		}
		if known || engine.Contradicted { // what is first heard of a server is no change
			if written {
				return
			}
			written = true
			w.write(backend.ID, before, engine)
		}
		w.recorded[server] = recordedPace{usual: engine.Usual, contradicted: engine.Contradicted}
	})
	if written {
		w.recordedAt = built.builtAt
	}
}

// differs tells whether the estimate is worth a record after the one before.
func (r recordedPace) differs(engine pace.Estimate) bool {
	change := engine.Usual / r.usual
	return change >= 1+minLoggedChange || change <= 1-minLoggedChange || (engine.Contradicted && !r.contradicted)
}

func (w *paceMonitor) write(backend string, before recordedPace, engine pace.Estimate) {
	fields := logrus.Fields{
		"backend":      backend,
		"told":         engine.Reported,
		"age_ms":       ageMilliseconds(engine.Age),
		"contradicted": engine.Contradicted,
	}
	if engine.Seen > 0 {
		fields["seen"] = engine.Seen
	}
	if before.usual > 0 {
		fields["before"] = before.usual
	}
	event.GateEnginePace.Log(w.logger, fields)
}

// ageMilliseconds returns -1 for an age that is unknown, which is negative.
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

// workTimes returns the usual work times of the listed servers that tell one.
func (b *paceSnapshot) workTimes() map[fleet.Service][]float64 {
	usual := make(map[fleet.Service][]float64)
	b.snapshot.Each(func(server uint32, engine pace.Estimate) {
		if backend := b.listed[server]; backend != nil {
			usual[backend.Service] = append(usual[backend.Service], engine.Usual)
		}
	})
	return usual
}

// EnginePace is what a router knows of how fast a backend server works.
type EnginePace struct {
	ID       string
	Service  fleet.Service
	Zone     fleet.Zone
	Estimate pace.Estimate
	Running  int // requests there, of all routers
}

// enginePaces returns the listed servers that tell a work time, in the order of their
// ids.
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
