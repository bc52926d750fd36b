package gate

import (
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
	"github.com/bluebellchute/bluebellchute/internal/policy"
	"github.com/bluebellchute/bluebellchute/internal/slowstart"
)

// BackendLoad is what a router has at one backend server.
type BackendLoad struct {
	Running int
	Pending float64 // prompt tokens whose first event has not come
	Memory  float64 // tokens that the running requests hold or will hold
}

// Add returns the sum of two loads.
func (l BackendLoad) Add(other BackendLoad) BackendLoad {
	return BackendLoad{
		Running: l.Running + other.Running,
		Pending: l.Pending + other.Pending,
		Memory:  l.Memory + other.Memory,
	}
}

// Peers tells what the other routers have at backend servers and how many
// routers there are.
type Peers interface {
	// Load returns the sum over all other routers that are heard, for an
	// incarnation of a backend server by its hash.
	Load(incarnation uint32) BackendLoad
	// Routers returns the number of routers that take requests, this one
	// included.
	Routers() int
	// Paces returns what all other routers that are heard know of how fast backend
	// servers work, as of the moment, by the hashes of their incarnations. It is nil if
	// they know nothing.
	Paces(now boottime.Instant) map[uint32]pace.Observation
	// Fleet tells a router's part of what cold backend servers may get.
	slowstart.Fleet
	// StoreContact returns when the store last answered another router, 0 if it
	// answers none at present.
	StoreContact() boottime.Instant
	// WatchesStore tells whether this router follows the store itself. The others
	// hear from those that do.
	WatchesStore() bool
}

const (
	// failureMemory is the weight of the newest answer in the share of
	// failures of a backend server.
	failureMemory = 0.2
	// shunShare is the share of failures from which a backend server gets no
	// requests for a while. Plain services fail up to a seventh of their
	// requests by their nature.
	shunShare = 0.6
	// shunTime is how long that lasts. One request tries it then.
	shunTime = 1500 * time.Millisecond
	// brokenShun is how long a backend server gets no requests whose
	// connection could not be opened.
	brokenShun = 800 * time.Millisecond
	// latencyMemory is the weight of the newest latency in the average.
	latencyMemory = 0.1
	// loadLife is how long a backend server that is no longer listed is
	// remembered, so that requests still running there are counted down.
	loadLife = time.Minute
)

// backendState is what a router has seen of one backend server.
type backendState struct {
	load     BackendLoad
	failures float64 // share of recent requests that failed, decayed
	latency  float64 // seconds, decayed average
	lastUsed boottime.Instant
}

// engineModel is what a router has learned of the engines of one service.
type engineModel struct {
	rate     policy.ReadRate
	headroom policy.Headroom
}

// loads is the table of backend servers by their incarnations: one that starts
// again under its id holds nothing of what the one before held, and what failed
// there says nothing of it. Its methods may be called concurrently.
type loads struct {
	mu       sync.Mutex
	backends map[string]*backendState
	shunned  map[string]boottime.Instant // until when they get no requests
	models   map[fleet.Service]*engineModel
}

func newLoads() *loads {
	return &loads{
		backends: make(map[string]*backendState),
		shunned:  make(map[string]boottime.Instant),
		models:   make(map[fleet.Service]*engineModel),
	}
}

func (l *loads) state(id string) *backendState {
	state := l.backends[id]
	if state == nil {
		state = &backendState{}
		l.backends[id] = state
	}
	return state
}

// begin counts a request in at a backend server.
func (l *loads) begin(id string, load BackendLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.state(id)
	state.load = state.load.Add(load)
	state.lastUsed = boottime.Now()
}

// first counts the first event of a request: its prompt of so many tokens has been
// read.
func (l *loads) first(id string, own float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state(id).load.Pending -= own
}

// read notes how long an engine of the service took to read the tokens that were
// waiting when a request was sent, its own included.
func (l *loads) read(service fleet.Service, pending float64, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model(service).rate.Observe(pending, took)
}

// model returns what was learned of the service's engines.
func (l *loads) model(service fleet.Service) *engineModel {
	model := l.models[service]
	if model == nil {
		model = &engineModel{}
		l.models[service] = model
	}
	return model
}

// noteLate notes whether an answer of the service was late.
func (l *loads) noteLate(service fleet.Service, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model(service).headroom.Observe(late)
}

// headroom returns the part of the budgets that is used at the service.
func (l *loads) headroom(service fleet.Service, least float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model(service).headroom.Value(least)
}

// headrooms returns the headroom of each service.
func (l *loads) headrooms() map[fleet.Service]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	parts := make(map[fleet.Service]float64, len(l.models))
	for service, model := range l.models {
		parts[service] = model.headroom.Value(0)
	}
	return parts
}

// rate returns how many prompt tokens an engine of the service reads in a
// second, as observed; assumed is the figure before any observation.
func (l *loads) rate(service fleet.Service, assumed float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model(service).rate.Estimate(assumed)
}

// observedRate returns how many prompt tokens an engine of the service reads in a second,
// and over how many seconds of reading that was seen. Nothing is assumed.
func (l *loads) observedRate(service fleet.Service) (rate, seconds float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model(service).rate.Observed()
}

// end counts a request out at a backend server.
func (l *loads) end(id string, load BackendLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.state(id)
	state.load.Running -= load.Running
	state.load.Pending -= load.Pending
	state.load.Memory -= load.Memory
}

// recordAnswer notes an answer and how long it took.
func (l *loads) recordAnswer(id string, sound bool, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.state(id)
	failure := 0.0
	if !sound {
		failure = 1
	}
	state.failures += (failure - state.failures) * failureMemory
	if sound && took > 0 {
		if state.latency == 0 {
			state.latency = took.Seconds()
		}
		state.latency += (took.Seconds() - state.latency) * latencyMemory
	}
	if state.failures > shunShare {
		// Half of the memory goes, so that one good answer after the pause
		// clears the backend server and one bad one shuns it again.
		state.failures = shunShare * (1 - failureMemory)
		l.shunned[id] = boottime.Now().Add(shunTime)
	}
}

// recordConnectionFailure notes that no connection to the backend server could be opened or
// that one broke.
func (l *loads) recordConnectionFailure(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shunned[id] = boottime.Now().Add(brokenShun)
}

// shunnedNow returns the backend servers that get no requests at present.
func (l *loads) shunnedNow(now boottime.Instant) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.shunned) == 0 {
		return nil
	}
	shunned := make(map[string]bool, len(l.shunned))
	for id, until := range l.shunned {
		if now >= until {
			delete(l.shunned, id)
			continue
		}
		shunned[id] = true
	}
	return shunned
}

// get returns the router's own load at a backend server and its latency.
func (l *loads) get(id string) (BackendLoad, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.backends[id]
	if state == nil {
		return BackendLoad{}, 0
	}
	return state.load, state.latency
}

// snapshot returns the loads of all backend servers that have any.
func (l *loads) snapshot() map[string]BackendLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	loaded := make(map[string]BackendLoad, len(l.backends))
	for id, state := range l.backends {
		if state.load.Running > 0 {
			loaded[id] = state.load
		}
	}
	return loaded
}

// prune forgets backend servers that are no longer listed.
func (l *loads) prune(backends map[string]*knowledge.Backend) {
	listed := make(map[string]bool, len(backends))
	for _, backend := range backends {
		listed[backend.Incarnation] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	for id, state := range l.backends {
		if !listed[id] && state.load.Running <= 0 && now.Sub(state.lastUsed) > loadLife {
			delete(l.backends, id)
		}
	}
}
