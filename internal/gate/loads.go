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

// BackendLoad is the load that a router's requests put on one backend server.
type BackendLoad struct {
	Running int
	Pending float64 // prompt tokens of requests whose first event has not arrived
	Memory  float64 // tokens in the engine's memory that the running requests take or will take
}

// Add returns the sum of two loads.
func (l BackendLoad) Add(other BackendLoad) BackendLoad {
	return BackendLoad{
		Running: l.Running + other.Running,
		Pending: l.Pending + other.Pending,
		Memory:  l.Memory + other.Memory,
	}
}

// Peers provides the state of the other routers.
type Peers interface {
	// Load returns the total load of all other reachable routers at an incarnation of a
	// backend server, given by its hash.
	Load(incarnation uint32) BackendLoad
	// Routers returns the number of routers that accept requests, including this one.
	Routers() int
	// Unheard returns how many other routers there are, as far as is known, whose usage has not
	// been received yet since this one has started.
	Unheard(now boottime.Instant) int
	// Paces returns what all other reachable routers have observed of the speed of backend
	// servers, as of the given time, by incarnation hash. It is nil if they have observed
	// nothing.
	Paces(now boottime.Instant) map[uint32]pace.Observation
	// Fleet provides a router's share of the requests that cold backend servers may get.
	slowstart.Fleet
	// StoreContact returns when the store last answered another router, 0 if it answers
	// none at present.
	StoreContact() boottime.Instant
	// WatchesStore reports whether this router watches the store itself. The other routers
	// receive changes from those that do.
	WatchesStore() bool
}

const (
	// failureWeight is the weight of the newest answer in the failure rate of a backend
	// server.
	failureWeight = 0.2
	// ejectionFailureRate is the failure rate at which a backend server is ejected. Plain
	// services fail up to a seventh of their requests in normal operation.
	ejectionFailureRate = 0.6
	// ejectionTime is how long a failing backend server gets no requests.
	ejectionTime = 1500 * time.Millisecond
	// connectEjectionTime is how long a backend server gets no requests after a connection
	// could not be opened.
	connectEjectionTime = 800 * time.Millisecond
	// latencyWeight is the weight of the newest latency in the average.
	latencyWeight = 0.1
	// unusedStateTTL is how long the state of an unlisted backend server is kept after its
	// last use, so that requests still running there are subtracted.
	unusedStateTTL = time.Minute
)

// backendState is what a router has observed of one backend server.
type backendState struct {
	load     BackendLoad
	failures float64 // fraction of recent requests that failed, decayed
	latency  float64 // seconds, decayed average
	lastUsed boottime.Instant
}

// engineModel is what a router has learned about the engines of one service.
type engineModel struct {
	rate     policy.ReadRate
	headroom policy.Headroom
}

// loads is the table of backend servers by incarnation: a server that restarts under its id
// has none of the requests of its former incarnation, and failures of that one say nothing
// about it. Its methods may be called concurrently.
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

// state returns the state of an incarnation, and creates it if needed. The caller must hold
// the lock.
func (l *loads) state(incarnation string) *backendState {
	state := l.backends[incarnation]
	if state == nil {
		state = &backendState{}
		l.backends[incarnation] = state
	}
	return state
}

// begin adds a request to the load of a backend server.
func (l *loads) begin(incarnation string, load BackendLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.state(incarnation)
	state.load = state.load.Add(load)
	state.lastUsed = boottime.Now()
}

// removePending removes the prompt tokens of a request whose first event has arrived: its
// prompt has been read.
func (l *loads) removePending(incarnation string, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state(incarnation).load.Pending -= tokens
}

// recordReading records how long an engine of the service took to read the tokens that were
// pending when a request was sent, including the request's own.
func (l *loads) recordReading(service fleet.Service, pending float64, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model(service).rate.Observe(pending, took)
}

// model returns what was learned about the service's engines.
func (l *loads) model(service fleet.Service) *engineModel {
	model := l.models[service]
	if model == nil {
		model = &engineModel{}
		l.models[service] = model
	}
	return model
}

// recordLateness records whether an answer of the service was late.
func (l *loads) recordLateness(service fleet.Service, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model(service).headroom.Observe(late)
}

// headroom returns the fraction of the budgets that is used at the service.
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

// rate returns how many prompt tokens per second an engine of the service reads, as
// observed; assumed is the rate before any observation.
func (l *loads) rate(service fleet.Service, assumed float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model(service).rate.Estimate(assumed)
}

// observedRate returns how many prompt tokens per second an engine of the service reads,
// and the seconds of reading behind this rate. Both are 0 before any observation.
func (l *loads) observedRate(service fleet.Service) (rate, seconds float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model(service).rate.Observed()
}

// end subtracts a request from the load of a backend server.
func (l *loads) end(incarnation string, load BackendLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.state(incarnation)
	state.load.Running -= load.Running
	state.load.Pending -= load.Pending
	state.load.Memory -= load.Memory
}

// recordAnswer records an answer and its latency.
func (l *loads) recordAnswer(incarnation string, success bool, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.state(incarnation)
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
		// The rate is lowered, so that one good answer after the pause clears the backend
		// server and one bad answer ejects it again.
		state.failures = ejectionFailureRate * (1 - failureWeight)
		l.ejected[incarnation] = boottime.Now().Add(ejectionTime)
	}
}

// recordConnectionFailure records that a connection to the backend server could not be
// opened, or that another server has its address.
func (l *loads) recordConnectionFailure(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ejected[incarnation] = boottime.Now().Add(connectEjectionTime)
}

// ejectedAt returns the backend servers that get no requests at the given time.
func (l *loads) ejectedAt(now boottime.Instant) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ejected) == 0 {
		return nil
	}
	ejected := make(map[string]bool, len(l.ejected))
	for incarnation, until := range l.ejected {
		if now >= until {
			delete(l.ejected, incarnation)
			continue
		}
		ejected[incarnation] = true
	}
	return ejected
}

// get returns the router's own load at a backend server and the server's latency.
func (l *loads) get(incarnation string) (BackendLoad, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.backends[incarnation]
	if state == nil {
		return BackendLoad{}, 0
	}
	return state.load, state.latency
}

// snapshot returns the loads of all backend servers with running requests.
func (l *loads) snapshot() map[string]BackendLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	loaded := make(map[string]BackendLoad, len(l.backends))
	for incarnation, state := range l.backends {
		if state.load.Running > 0 {
			loaded[incarnation] = state.load
		}
	}
	return loaded
}

// prune removes unused backend servers that are no longer listed.
func (l *loads) prune(backends map[string]*knowledge.Backend) {
	listed := make(map[string]bool, len(backends))
	for _, backend := range backends {
		listed[backend.Incarnation] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	for incarnation, state := range l.backends {
		if !listed[incarnation] && state.load.Running <= 0 && now.Sub(state.lastUsed) > unusedStateTTL {
			delete(l.backends, incarnation)
		}
	}
}
