package gate

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
)

const (
	// snapshotInterval is the interval between two snapshots of paces. Merging the
	// observations of all routers for each request would cost more than the decision.
	snapshotInterval = 100 * time.Millisecond
	// maxSnapshotAge is the age from which requests wait for a new snapshot, as after a
	// pause of the process, instead of using the last one while the next one is built. It
	// is no more than the time for which a reported work time counts as current.
	maxSnapshotAge = 400 * time.Millisecond
	// minReadingSeconds is the time that engines of a service must have spent reading
	// before the service's rate is compared with the rates of single engines.
	minReadingSeconds = 3
)

// paces holds the observed and reported speed of each backend server. Speeds are compared
// by work time, the time that a server takes for some work relative to the fleet's usual
// machine, whose work time is 1. Its methods may be called concurrently.
type paces struct {
	settings *currentSettings
	loads    *loads
	peers    Peers
	table    *pace.Table

	building sync.Mutex // held while a snapshot is built
	built    atomic.Pointer[paceSnapshot]
	monitor  atomic.Pointer[paceMonitor] // nil until export is called

	mu     sync.Mutex
	listed map[uint32]*knowledge.Backend // by incarnation hash
}

// paceSnapshot is a snapshot of all estimates, with the list of backend servers for which
// it was built and counts by service.
type paceSnapshot struct {
	snapshot *pace.Snapshot
	builtAt  boottime.Instant
	services map[fleet.Service]reportCounts
	listed   map[uint32]*knowledge.Backend
}

// reportCounts counts the servers of a service that report a work time, and those whose
// reports contradict the observations.
type reportCounts struct{ servers, contradicted int }

// rateDoubtful reports whether most servers contradict the rate of the service: then the
// rate is probably wrong, not the servers.
func (c reportCounts) rateDoubtful() bool { return 2*c.contradicted > c.servers }

func newPaces(settings *currentSettings, loads *loads, peers Peers) *paces {
	return &paces{
		settings: settings,
		loads:    loads,
		peers:    peers,
		table:    pace.NewTable(),
		listed:   make(map[uint32]*knowledge.Backend),
	}
}

// enabled reports whether paces are switched on.
func (p *paces) enabled() bool { return p.settings.get().Engines.Pace }

// recordReport records the load that a backend server reported with an answer.
func (p *paces) recordReport(backend *knowledge.Backend, reply Reply, now boottime.Instant) {
	if !p.enabled() {
		return
	}
	monitor := p.monitor.Load()
	if reply.MalformedLoad {
		monitor.count(reportMalformed)
		return
	}
	if reply.Load.WorkTime == 0 {
		return
	}
	p.addBackend(backend)
	p.table.RecordReport(backend.IncarnationHash, reply.Load, now)
	if p.estimate(backend.IncarnationHash).Contradicted {
		monitor.count(reportContradicted)
		return
	}
	monitor.count(reportTaken)
}

// recordReading records how long an engine took to read the pending prompt tokens, and
// returns the time that an engine with work time 1 would have taken, from which the rate of
// the service is derived.
func (p *paces) recordReading(backend *knowledge.Backend, pending float64, took time.Duration) time.Duration {
	if !p.enabled() {
		return took
	}
	p.table.RecordFirstEvent(backend.IncarnationHash, pending, took, boottime.Now())
	built := p.current()
	estimate := built.snapshot.Engine(backend.IncarnationHash)
	if !estimate.HasReport {
		return took
	}
	workTime := estimate.Usual
	if estimate.Contradicted && built.services[backend.Service].rateDoubtful() {
		// With their observed work times, these engines would confirm a wrong rate forever.
		workTime = estimate.Reported
	}
	return time.Duration(float64(took) / workTime)
}

// recordStreamEnd records the end of a complete stream, and whether it was late.
func (p *paces) recordStreamEnd(backend *knowledge.Backend, late bool) {
	if p.enabled() {
		p.table.RecordStreamEnd(backend.IncarnationHash, late, boottime.Now())
	}
}

// own returns this router's observations, for the other routers.
func (p *paces) own(now boottime.Instant) map[uint32]pace.Observation {
	if !p.enabled() {
		return nil
	}
	return p.table.Own(now)
}

// estimate returns the expected speed of a backend server, given by its incarnation hash.
// To look at many servers, take one snapshot for all of them.
func (p *paces) estimate(hash uint32) pace.Estimate { return p.snapshot().Engine(hash) }

// snapshot returns the expected speed of all backend servers. It is empty while paces are
// switched off.
func (p *paces) snapshot() *pace.Snapshot { return p.current().snapshot }

// hasReports reports whether any listed server of the service reports a work time. If none
// does, no decision may depend on paces.
func (p *paces) hasReports(service fleet.Service) bool {
	return p.enabled() && p.current().services[service].servers > 0
}

// noPaces is the snapshot while paces are switched off.
var noPaces = &paceSnapshot{snapshot: &pace.Snapshot{}}

// current returns the current snapshot. When a new one is due, it is built in the
// background, since merging the reports of the routers of a large fleet takes milliseconds.
// Requests wait for it only if the last one is older than maxSnapshotAge.
func (p *paces) current() *paceSnapshot {
	if !p.enabled() {
		return noPaces
	}
	now := boottime.Now()
	built := p.built.Load()
	if built.youngerThan(now, snapshotInterval) {
		return built
	}
	if built.youngerThan(now, maxSnapshotAge) {
		if p.building.TryLock() {
			go func() {
				defer p.building.Unlock()
				p.refresh(now)
			}()
		}
		return built
	}
	p.building.Lock()
	defer p.building.Unlock()
	return p.refresh(now)
}

// refresh returns the current snapshot, and builds it unless another goroutine has done so
// meanwhile. The caller must hold the building lock.
func (p *paces) refresh(now boottime.Instant) *paceSnapshot {
	built := p.built.Load()
	if built.youngerThan(now, snapshotInterval) {
		return built
	}
	built = p.build(now)
	p.built.Store(built)
	p.monitor.Load().logChange(built)
	return built
}

// youngerThan reports whether the snapshot exists and is younger than the given age.
func (s *paceSnapshot) youngerThan(now boottime.Instant, age time.Duration) bool {
	return s != nil && now.Sub(s.builtAt) < age
}

// build merges all routers' observations into a new snapshot.
func (p *paces) build(now boottime.Instant) *paceSnapshot {
	p.mu.Lock()
	listed := p.listed
	p.mu.Unlock()
	rates := make(map[fleet.Service]float64)
	rateOf := func(hash uint32) float64 {
		backend := listed[hash]
		if backend == nil {
			return 0
		}
		rate, known := rates[backend.Service]
		if !known {
			rate = p.serviceRate(backend.Service)
			rates[backend.Service] = rate
		}
		return rate
	}
	built := &paceSnapshot{
		snapshot: pace.NewSnapshot(p.table.Own(now), p.peers.Paces(now), rateOf, now),
		builtAt:  now,
		services: make(map[fleet.Service]reportCounts),
		listed:   listed,
	}
	built.snapshot.Each(func(hash uint32, estimate pace.Estimate) {
		backend := listed[hash]
		if backend == nil {
			return
		}
		counts := built.services[backend.Service]
		counts.servers++
		if estimate.Contradicted {
			counts.contradicted++
		}
		built.services[backend.Service] = counts
	})
	return built
}

// serviceRate returns the prompt tokens per second that an engine with work time 1 reads, 0
// as long as there are too few observations.
func (p *paces) serviceRate(service fleet.Service) float64 {
	rate, seconds := p.loads.observedRate(service)
	if seconds < minReadingSeconds {
		return 0
	}
	return rate
}

// addBackend adds a backend server that has answered before it was listed to the servers
// that snapshots include.
func (p *paces) addBackend(backend *knowledge.Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listed[backend.IncarnationHash] != nil {
		return
	}
	listed := maps.Clone(p.listed) // snapshots share the former map
	listed[backend.IncarnationHash] = backend
	p.listed = listed
}

// setBackends sets the list of backend servers and removes the observations of unlisted
// ones.
func (p *paces) setBackends(backends map[string]*knowledge.Backend) {
	listed := make(map[uint32]*knowledge.Backend, len(backends))
	hashes := make(map[uint32]bool, len(backends))
	for _, backend := range backends {
		listed[backend.IncarnationHash] = backend
		hashes[backend.IncarnationHash] = true
	}
	p.mu.Lock()
	p.listed = listed
	p.mu.Unlock()
	p.table.Retain(hashes)
}
