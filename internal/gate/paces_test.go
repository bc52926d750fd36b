package gate

import (
	"io"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
	"github.com/bluebellchute/bluebellchute/internal/policy"
)

// pacedPeers is a fleet whose other routers have observed paces.
type pacedPeers struct {
	noPeers
	paces map[uint32]pace.Observation
}

func (p *pacedPeers) Paces(boottime.Instant) map[uint32]pace.Observation { return p.paces }

// pacedFleet is the admission of a router with two engines of service "s" and a plain
// server.
type pacedFleet struct {
	*admission
	peers               *pacedPeers
	fast, slow, another *knowledge.Backend
}

func newPacedFleet(t *testing.T, enabled bool) *pacedFleet {
	t.Helper()
	state := knowledge.NewState()
	state.SetBackends([]knowledge.Backend{
		{ID: "fast", Service: "s", Address: "10.0.0.1:1", Slots: 48, Zone: "z"},
		{ID: "slow", Service: "s", Address: "10.0.0.1:2", Slots: 48, Zone: "z"},
		{ID: "another", Service: "plain", Address: "10.0.0.1:3", Slots: 6, Zone: "z"},
	}, knowledge.Position{Revision: 1}, boottime.Now())
	peers := &pacedPeers{}
	settings := newCurrentSettings(Settings{Admission: policy.Defaults(), Engines: EngineSettings{Pace: enabled}})
	f := &pacedFleet{admission: newAdmission(settings, "z", peers), peers: peers}
	backends := state.View().Backends
	f.paces.setBackends(backends)
	f.fast, f.slow, f.another = backends["fast"], backends["slow"], backends["another"]
	return f
}

// report delivers a work time that a backend server reports with an answer.
func (f *pacedFleet) report(backend *knowledge.Backend, workTime float64) {
	f.paces.recordReport(backend, Reply{Load: pace.Report{Slots: 48, WorkTime: workTime}}, boottime.Now())
	f.expireSnapshot()
}

// expireSnapshot makes the next look build a snapshot, after one that is being built.
func (f *pacedFleet) expireSnapshot() {
	f.paces.building.Lock()
	defer f.paces.building.Unlock()
	f.paces.built.Store(nil)
}

// firstEvent delivers the first event of a request to an engine after the given time.
func (f *pacedFleet) firstEvent(backend *knowledge.Backend, tokens float64, took time.Duration) {
	request := &Request{Service: backend.Service}
	placed := &placement{backend: backend, load: BackendLoad{Running: 1, Pending: tokens}, pending: tokens, model: true}
	f.recordFirstEvent(request, placed, took)
	f.expireSnapshot()
}

// Guards against any effect of paces while they are switched off.
func TestPacesSwitchedOffAreInert(t *testing.T) {
	f := newPacedFleet(t, false)
	f.peers.paces = map[uint32]pace.Observation{f.slow.IncarnationHash: {Usual: 3}}
	f.report(f.fast, 0.5)
	f.firstEvent(f.fast, 10_000, time.Second)
	f.recordStreamEnd("s", &placement{backend: f.fast}, true)
	if f.paces.enabled() || f.paces.hasReports("s") || f.paces.own(boottime.Now()) != nil || f.enginePaces() != nil {
		t.Error("paces are in use or reported")
	}
	for _, backend := range []*knowledge.Backend{f.fast, f.slow} {
		if got := f.paces.estimate(backend.IncarnationHash); got.HasReport || got.Usual != 1 || got.Now != 1 {
			t.Errorf("estimate %+v for %s", got, backend.ID)
		}
	}
	if rate, seconds := f.loads.observedRate("s"); rate != 10_000 || seconds != 1 {
		t.Errorf("rate %v in %v s", rate, seconds)
	}
}

// Guards against treating services whose servers report no work time differently once paces
// are switched on.
func TestServiceWithoutReportsIsUnchanged(t *testing.T) {
	f := newPacedFleet(t, true)
	f.paces.recordReport(f.fast, Reply{Load: pace.Report{Running: 3, Slots: 48}}, boottime.Now())
	f.report(f.another, 2)
	f.firstEvent(f.fast, 10_000, time.Second)
	if f.paces.hasReports("s") || !f.paces.hasReports("plain") {
		t.Errorf("reports: %t for engines without work times, %t for servers with them", f.paces.hasReports("s"), f.paces.hasReports("plain"))
	}
	if got := f.paces.estimate(f.fast.IncarnationHash); got.HasReport || got.Usual != 1 {
		t.Errorf("%+v", got)
	}
	if rate, seconds := f.loads.observedRate("s"); rate != 10_000 || seconds != 1 {
		t.Errorf("rate %v in %v s", rate, seconds)
	}
}

// Guards against a service's rate that depends on which of its engines get the requests.
func TestRateOfAServiceIsThatAtWorkTimeOne(t *testing.T) {
	f := newPacedFleet(t, true)
	f.report(f.fast, 0.5)
	f.report(f.slow, 2)
	for range 20 {
		f.firstEvent(f.fast, 10_000, time.Second/2)
		f.firstEvent(f.slow, 10_000, 2*time.Second)
	}
	if rate, _ := f.loads.observedRate("s"); math.Abs(rate-10_000) > 1 {
		t.Errorf("%v tokens per second, want 10,000", rate)
	}
	fast, slow := f.paces.estimate(f.fast.IncarnationHash), f.paces.estimate(f.slow.IncarnationHash)
	if math.Abs(fast.Rate-20_000) > 200 || math.Abs(slow.Rate-5000) > 50 {
		t.Errorf("engines read %v and %v tokens per second, want 20,000 and 5,000", fast.Rate, slow.Rate)
	}
}

// Guards against a rate learned before the work times were reported that permanently
// contradicts all engines, because their speed would be taken for that at work time 1.
func TestWrongRateOfAServiceIsRelearned(t *testing.T) {
	f := newPacedFleet(t, true)
	for range 100 {
		f.firstEvent(f.fast, 10_000, 5*time.Second)
	}
	f.report(f.fast, 5)
	f.report(f.slow, 5)
	for range 600 {
		f.firstEvent(f.fast, 10_000, 5*time.Second)
		f.firstEvent(f.slow, 10_000, 5*time.Second)
	}
	if got := f.paces.estimate(f.fast.IncarnationHash); got.Contradicted || got.Usual != 5 {
		t.Errorf("%+v", got)
	}
}

// Guards against one engine with a wrong report that distorts the rate of all.
func TestContradictedEngineDoesNotSpoilTheServicesRate(t *testing.T) {
	f := newPacedFleet(t, true)
	f.report(f.slow, 1)
	for range 100 {
		f.firstEvent(f.slow, 10_000, time.Second)
	}
	f.report(f.fast, 0.05)
	f.peers.paces = map[uint32]pace.Observation{f.fast.IncarnationHash: {Usual: 0.05, ReadTokens: 100_000, ReadSeconds: 10}}
	f.expireSnapshot()
	for range 100 {
		f.firstEvent(f.fast, 10_000, time.Second)
	}
	if rate, _ := f.loads.observedRate("s"); math.Abs(rate-10_000) > 500 {
		t.Errorf("%v tokens per second, want about 10,000", rate)
	}
	if got := f.paces.estimate(f.fast.IncarnationHash); !got.Contradicted || math.Abs(got.Usual-1) > 0.1 {
		t.Errorf("%+v", got)
	}
}

// slowPeers is a fleet whose Paces blocks until proceed is closed.
type slowPeers struct {
	noPeers
	called, proceed chan struct{}
}

func (p *slowPeers) Paces(boottime.Instant) map[uint32]pace.Observation {
	p.called <- struct{}{}
	<-p.proceed
	return nil
}

// Guards against requests that wait while a snapshot is built, which takes milliseconds in
// large fleets, and against two concurrent builds.
func TestRequestsDoNotWaitForASnapshot(t *testing.T) {
	peers := &slowPeers{called: make(chan struct{}, 2), proceed: make(chan struct{})}
	p := newPaces(newCurrentSettings(Settings{Engines: EngineSettings{Pace: true}}), newLoads(), peers)
	last := &paceSnapshot{snapshot: &pace.Snapshot{}, builtAt: boottime.Now().Add(-snapshotInterval)}
	p.built.Store(last)
	snapshots := make(chan *paceSnapshot)
	for range 2 {
		go func() { snapshots <- p.current() }()
	}
	for range 2 {
		select {
		case built := <-snapshots:
			if built != last && last.youngerThan(boottime.Now(), maxSnapshotAge) {
				t.Error("a request did not use the last snapshot")
			}
		case <-time.After(2 * time.Second):
			t.Fatal("a request waits for the snapshot")
		}
	}
	<-peers.called
	close(peers.proceed)
	p.building.Lock()
	defer p.building.Unlock()
	if p.built.Load() == last || len(peers.called) != 0 {
		t.Errorf("no snapshot was built, or %d more than one", len(peers.called))
	}
}

// Guards against using paces from before a pause of the process.
func TestRequestsWaitWhileTheSnapshotIsOld(t *testing.T) {
	f := newPacedFleet(t, true)
	f.peers.paces = map[uint32]pace.Observation{f.slow.IncarnationHash: {Usual: 3}}
	f.paces.built.Store(&paceSnapshot{snapshot: &pace.Snapshot{}, builtAt: boottime.Now().Add(-maxSnapshotAge)})
	if got := f.paces.estimate(f.slow.IncarnationHash); got.Usual != 3 {
		t.Errorf("%+v", got)
	}
}

// Guards against routers that use only their own few observations.
func TestOtherRoutersPacesCount(t *testing.T) {
	f := newPacedFleet(t, true)
	f.peers.paces = map[uint32]pace.Observation{f.slow.IncarnationHash: {Usual: 3}}
	if got := f.paces.estimate(f.slow.IncarnationHash); !got.HasReport || got.Usual != 3 || !f.paces.hasReports("s") {
		t.Errorf("%+v", got)
	}
	if got := f.paces.own(boottime.Now()); got != nil {
		t.Errorf("%+v of others is reported as this router's own", got)
	}
	engines := f.enginePaces()
	if len(engines) != 1 || engines[0].ID != "slow" || engines[0].Estimate.Usual != 3 {
		t.Errorf("reported to operators: %+v", engines)
	}
}

// Guards against tables that grow with each replaced server.
func TestPacesOfUnlistedServersAreRemoved(t *testing.T) {
	f := newPacedFleet(t, true)
	f.report(f.fast, 0.5)
	f.paces.setBackends(map[string]*knowledge.Backend{"slow": f.slow})
	f.expireSnapshot()
	if got := f.paces.estimate(f.fast.IncarnationHash); got.HasReport || f.paces.hasReports("s") || f.paces.own(boottime.Now()) != nil {
		t.Errorf("%+v is kept", got)
	}
}

// Guards against applying the report of another server that has taken over the address, and
// against malformed reports that are accepted or ignored without being counted.
func TestReportsAreCounted(t *testing.T) {
	f := newPacedFleet(t, true)
	logger, hook := logrustest.NewNullLogger()
	registry := prometheus.NewRegistry()
	f.paces.export(logger, registry)
	h := &handler{admission: f.admission, requestLog: newRequestLog(logger, knowledge.NewState(), nil)}
	report := pace.Report{Slots: 48, WorkTime: 0.5}
	h.observeReply(f.fast, Reply{Load: report, Replaced: true})
	if f.paces.hasReports("s") {
		t.Error("a report of another server was accepted")
	}
	f.expireSnapshot()
	h.observeReply(f.fast, Reply{MalformedLoad: true})
	h.observeReply(f.fast, Reply{Load: report})
	h.observeReply(f.fast, Reply{Load: pace.Report{Slots: 48}})
	f.expireSnapshot()
	f.peers.paces = map[uint32]pace.Observation{f.fast.IncarnationHash: {Usual: 0.5, ReadTokens: 50_000, ReadSeconds: 10}}
	for range 10 {
		f.loads.recordReading("s", 20_000, time.Second)
	}
	h.observeReply(f.fast, Reply{Load: report})
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	exported := make(map[string]int)
	for _, family := range families {
		exported[family.GetName()] = len(family.GetMetric())
		for _, metric := range family.GetMetric() {
			if counter := metric.GetCounter(); counter != nil && counter.GetValue() != 1 {
				t.Errorf("%v reports %v, want 1", counter.GetValue(), metric.GetLabel())
			}
		}
	}
	if exported["bluebell_gate_load_reports_total"] != 3 || exported["bluebell_gate_engine_work_time"] != 3 {
		t.Errorf("%v are exported", exported)
	}
	if entries := hook.AllEntries(); len(entries) != 1 || entries[0].Data["contradicted"] != true || entries[0].Data["backend"] != "fast" {
		t.Errorf("%d log entries %+v", len(entries), entries)
	}
}

// Guards against a flood of log entries while a whole service slows down.
func TestChangedPacesAreLoggedOnceASecond(t *testing.T) {
	logger, hook := logrustest.NewNullLogger()
	f := newPacedFleet(t, true)
	monitor := &paceMonitor{logger: logger, recorded: make(map[uint32]recordedPace)}
	logChange := func(now boottime.Instant, usual float64) {
		own := map[uint32]pace.Observation{f.fast.IncarnationHash: {Usual: usual}, f.slow.IncarnationHash: {Usual: usual}}
		snapshot := pace.NewSnapshot(own, nil, func(uint32) float64 { return 0 }, now)
		monitor.logChange(&paceSnapshot{snapshot: snapshot, builtAt: now, listed: f.paces.listed})
	}
	now := boottime.Now()
	logChange(now, 1)
	logChange(now.Add(snapshotInterval), 1.2)
	if count := len(hook.AllEntries()); count != 0 {
		t.Fatalf("%d log entries without a change", count)
	}
	for i := range 21 {
		logChange(now.Add(time.Second+time.Duration(i)*snapshotInterval), 1.3)
	}
	entries := hook.AllEntries()
	if len(entries) != 2 || entries[0].Data["backend"] == entries[1].Data["backend"] {
		t.Fatalf("%d log entries, want one for each engine", len(entries))
	}
	if entries[0].Data["told"] != 1.3 || entries[0].Data["before"] != 1.0 || entries[0].Data["age_ms"] != int64(-1) {
		t.Errorf("%+v", entries[0].Data)
	}
}

// Guards against races between requests that use a snapshot and those that build one.
func TestPacesMayBeUsedConcurrently(t *testing.T) {
	f := newPacedFleet(t, true)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f.paces.export(logger, prometheus.NewRegistry())
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for range 200 {
				f.report(f.fast, 0.5+float64(i))
				f.firstEvent(f.fast, 10_000, time.Second)
				f.paces.recordStreamEnd(f.fast, i%2 == 0)
				f.paces.own(boottime.Now())
				f.enginePaces()
				f.paces.setBackends(map[string]*knowledge.Backend{"fast": f.fast, "slow": f.slow})
			}
		})
	}
	group.Wait()
	if got := f.paces.estimate(f.fast.IncarnationHash); got.Reported != 0.5 {
		t.Errorf("%+v", got)
	}
}

// BenchmarkPaceSnapshot measures a look at one engine, and building a snapshot.
func BenchmarkPaceSnapshot(b *testing.B) {
	settings := newCurrentSettings(Settings{Engines: EngineSettings{Pace: true}})
	peers := &pacedPeers{paces: make(map[uint32]pace.Observation)}
	p := newPaces(settings, newLoads(), peers)
	for hash := range uint32(640) {
		peers.paces[hash*2654435761] = pace.Observation{Usual: 1, ReadTokens: 100, ReadSeconds: 1}
		p.table.RecordReport(hash*2654435761, pace.Report{WorkTime: 1}, boottime.Now())
	}
	b.Run("look", func(b *testing.B) {
		for b.Loop() {
			p.estimate(2654435761)
		}
	})
	b.Run("build", func(b *testing.B) {
		for b.Loop() {
			p.build(boottime.Now())
		}
	})
}
