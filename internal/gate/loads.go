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
	// failureWeight is the weight of the newest answer in the share of
	// failures of a backend server.
	failureWeight = 0.2
	// ejectionFailureRate is the share of failures from which a backend server gets no
	// requests for a while. Plain services fail up to a seventh of their
	// requests by their nature.
	ejectionFailureRate = 0.6
	// ejectionTime is how long that lasts. One request tries it then.
	ejectionTime = 1500 * time.Millisecond
	// connectEjectionTime is how long a backend server gets no requests whose
	// connection could not be opened.
	connectEjectionTime = 800 * time.Millisecond
	// latencyWeight is the weight of the newest latency in the average.
	latencyWeight = 0.1
	// unusedStateTTL is how long a backend server that is no longer listed is
	// remembered, so that requests still running there are counted down.
	unusedStateTTL = time.Minute
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
	ejected  map[string]boottime.Instant // until when they get no requests
	models   map[fleet.Service]*engineModel
}

func newLoads() *loads {
	return &loads{
		backends: make(map[string]*backendState),
		ejected:  make(map[string]boottime.Instant),
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

// removePending counts the first event of a request: its prompt of so many tokens has been
// read.
func (l *loads) removePending(id string, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state(id).load.Pending -= tokens
}

// recordReading notes how long an engine of the service took to read the tokens that were
// waiting when a request was sent, its own included.
func (l *loads) recordReading(service fleet.Service, pending float64, took time.Duration) {
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

// recordLateness notes whether an answer of the service was late.
func (l *loads) recordLateness(service fleet.Service, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model(service).headroom.Observe(late)
}

// headroom returns the part of the budgets that is used at the service.
func (l *loads) headroom(service fleet.Service, floor float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model(service).headroom.Value(floor)
}

// headrooms returns the headroom of each service.
func (l *loads) headrooms() map[fleet.Service]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	headrooms := make(map[fleet.Service]float64, len(l.models))
	for service, model := range l.models {
		headrooms[service] = model.headroom.Value(0)
	}
	return headrooms
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
func (l *loads) recordAnswer(id string, success bool, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.state(id)
	failure := 0.0
	if !success {
		failure = 1
	}
	state.failures += (failure - state.failures) * failureWeight
	if success && took > 0 {
		if state.latency == 0 {
			state.latency = took.Seconds()
		}
		state.latency += (took.Seconds() - state.latency) * latencyWeight
	}
	if state.failures > ejectionFailureRate {
		// Half of the memory goes, so that one good answer after the pause
		// clears the backend server and one bad one shuns it again.
		state.failures = ejectionFailureRate * (1 - failureWeight)
		l.ejected[id] = boottime.Now().Add(ejectionTime)
	}
}

// recordConnectionFailure notes that no connection to the backend server could be opened or
// that one broke.
func (l *loads) recordConnectionFailure(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ejected[id] = boottime.Now().Add(connectEjectionTime)
}

// ejectedAt returns the backend servers that get no requests at present.
func (l *loads) ejectedAt(now boottime.Instant) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ejected) == 0 {
		return nil
	}
	shunned := make(map[string]bool, len(l.ejected))
	for id, until := range l.ejected {
		if now >= until {
			delete(l.ejected, id)
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
		if !listed[id] && state.load.Running <= 0 && now.Sub(state.lastUsed) > unusedStateTTL {
			delete(l.backends, id)
		}
	}
}
