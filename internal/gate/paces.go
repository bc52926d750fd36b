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
	// snapshotInterval is the pause between two snapshots of paces. Merging all routers'
	// figures for each request would cost more than the decision.
	snapshotInterval = 100 * time.Millisecond
	// maxSnapshotAge is the age from which requests wait for a new snapshot, as after a pause
	// of the process, instead of going by the last one while the next one is built. It is
	// no longer than a reported work time stands for the current one.
	maxSnapshotAge = 400 * time.Millisecond
	// minReadingSeconds is the reading that must have been seen of a service before its
	// rate is compared with single engines'.
	minReadingSeconds = 3
)

// paces is what is known of how fast each backend server works. Its methods may be
// called concurrently.
type paces struct {
	settings *currentSettings
	loads    *loads
	peers    Peers
	table    *pace.Table

	building sync.Mutex // is held by whoever builds a snapshot
	built    atomic.Pointer[paceSnapshot]
	monitor  atomic.Pointer[paceMonitor] // nil until it is set

	mu     sync.Mutex
	listed map[uint32]*knowledge.Backend // by the hashes of their incarnations
}

// paceSnapshot is a snapshot and what follows from it.
type paceSnapshot struct {
	snapshot *pace.Snapshot
	builtAt  boottime.Instant
	services map[fleet.Service]reportCounts
	listed   map[uint32]*knowledge.Backend
}

// reportCounts counts the servers of a service that tell a work time.
type reportCounts struct{ servers, contradicted int }

// rateDoubtful tells that most servers contradict the rate of the service: that is wrong
// rather than all of them.
func (s reportCounts) rateDoubtful() bool { return 2*s.contradicted > s.servers }

func newPaces(settings *currentSettings, loads *loads, peers Peers) *paces {
	return &paces{
		settings: settings,
		loads:    loads,
		peers:    peers,
		table:    pace.NewTable(),
		listed:   make(map[uint32]*knowledge.Backend),
	}
}

// enabled tells whether the settings ask for paces.
func (p *paces) enabled() bool { return p.settings.get().Engines.Pace }

// recordReport takes what a backend server tells of its load with an answer.
func (p *paces) recordReport(backend *knowledge.Backend, reply Reply, now boottime.Instant) {
	if !p.enabled() {
		return
	}
	watcher := p.monitor.Load()
	if reply.MalformedLoad {
		watcher.count(reportMalformed)
		return
	}
	if reply.Load.WorkTime == 0 {
		return
	}
	p.addBackend(backend)
	p.table.RecordReport(backend.IncarnationHash, reply.Load, now)
	if p.estimate(backend.IncarnationHash).Contradicted {
		watcher.count(reportContradicted)
		return
	}
	watcher.count(reportTaken)
}

// recordReading notes that an engine took the time to read the prompt tokens that were waiting,
// and returns the time that an engine at work time 1 would have taken.
func (p *paces) recordReading(backend *knowledge.Backend, pending float64, took time.Duration) time.Duration {
	if !p.enabled() {
		return took
	}
	p.table.RecordFirstEvent(backend.IncarnationHash, pending, took, boottime.Now())
	built := p.current()
	engine := built.snapshot.Engine(backend.IncarnationHash)
	if !engine.HasReport {
		return took
	}
	workTime := engine.Usual
	if engine.Contradicted && built.services[backend.Service].rateDoubtful() {
		// By what is seen of them, these engines would confirm a wrong rate for ever.
		workTime = engine.Reported
	}
	return time.Duration(float64(took) / workTime)
}

// recordStreamEnd notes the end of a whole stream, and whether it was late.
func (p *paces) recordStreamEnd(backend *knowledge.Backend, late bool) {
	if p.enabled() {
		p.table.RecordStreamEnd(backend.IncarnationHash, late, boottime.Now())
	}
}

// own returns what this router has seen, for the others.
func (p *paces) own(now boottime.Instant) map[uint32]pace.Observation {
	if !p.enabled() {
		return nil
	}
	return p.table.Own(now)
}

// estimate returns what is expected of a backend server by the hash of its incarnation.
// Who looks at many at once takes one snapshot for all of them.
func (p *paces) estimate(hash uint32) pace.Estimate { return p.snapshot().Engine(hash) }

// snapshot returns what is expected of all backend servers. It is empty while paces are
// switched off.
func (p *paces) snapshot() *pace.Snapshot { return p.current().snapshot }

// hasReports tells whether any listed server of the service tells a work time. Where none
// does, nothing may depend on paces.
func (p *paces) hasReports(service fleet.Service) bool {
	return p.enabled() && p.current().services[service].servers > 0
}

// noPaces are those of a gate in which they are switched off.
var noPaces = &paceSnapshot{snapshot: &pace.Snapshot{}}

// current returns the snapshot of the moment. One that is due is built in the background,
// as merging what the routers of a large fleet report takes milliseconds; requests wait
// for it only while the last one is too old to go by.
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

// refresh returns the snapshot of the moment and builds it if no one else has meanwhile.
// Its caller holds the lock for building.
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

// youngerThan tells whether the snapshot is younger than the age.
func (b *paceSnapshot) youngerThan(now boottime.Instant, age time.Duration) bool {
	return b != nil && now.Sub(b.builtAt) < age
}

func (p *paces) build(now boottime.Instant) *paceSnapshot {
	p.mu.Lock()
	listed := p.listed
	p.mu.Unlock()
	rates := make(map[fleet.Service]float64)
	serviceRate := func(server uint32) float64 {
		backend := listed[server]
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
		snapshot: pace.NewSnapshot(p.table.Own(now), p.peers.Paces(now), serviceRate, now),
		builtAt:  now,
		services: make(map[fleet.Service]reportCounts),
		listed:   listed,
	}
	built.snapshot.Each(func(server uint32, engine pace.Estimate) {
		backend := listed[server]
		if backend == nil {
			return
		}
		counts := built.services[backend.Service]
		counts.servers++
		if engine.Contradicted {
			counts.contradicted++
		}
		built.services[backend.Service] = counts
	})
	return built
}

// serviceRate returns the prompt tokens that an engine at work time 1 reads in a second,
// 0 while too little was seen.
func (p *paces) serviceRate(service fleet.Service) float64 {
	rate, seconds := p.loads.observedRate(service)
	if seconds < minReadingSeconds {
		return 0
	}
	return rate
}

// addBackend makes a backend server known that has answered before the list was taken.
func (p *paces) addBackend(backend *knowledge.Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listed[backend.IncarnationHash] != nil {
		return
	}
	listed := maps.Clone(p.listed) // snapshots hold the former map
	listed[backend.IncarnationHash] = backend
	p.listed = listed
}

// setBackends takes the list of backend servers and forgets those that are not on it.
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
