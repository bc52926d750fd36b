package gate

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
)

// PlainSettings are the settings of plain services.
type PlainSettings struct {
	// Admission refuses requests that would wait too long. Without it, every request is
	// sent.
	Admission bool
}

// plainState is what a router has learned about one plain server.
type plainState struct {
	load        policy.PlainLoad
	serviceTime policy.ServiceTime
	lastUsed    boottime.Instant
}

// plainServers is the table of plain servers by incarnation. Its methods may be called
// concurrently.
type plainServers struct {
	mu     sync.Mutex
	states map[string]*plainState
	// observeWait is called with the expected wait of each decision.
	observeWait func(service fleet.Service, wait time.Duration)
}

func newPlainServers() *plainServers {
	return &plainServers{states: make(map[string]*plainState), observeWait: func(fleet.Service, time.Duration) {}}
}

// plainPlacement is the placement of a request at a plain server under admission control.
type plainPlacement struct {
	state    *plainState
	sent     policy.SentPlainRequest
	answered bool // the server itself has answered, without a failure
}

// state returns what was learned about an incarnation.
func (p *plainServers) state(incarnation string, now boottime.Instant) *plainState {
	state := p.states[incarnation]
	if state == nil {
		state = &plainState{}
		p.states[incarnation] = state
	}
	state.lastUsed = now
	return state
}

// defaultServiceTime is the assumed service time before any server of a service has
// answered.
const defaultServiceTime = 10 * time.Millisecond

// mean returns the mean service time of the backend servers that have answered.
func (p *plainServers) mean(usable []*knowledge.Backend) time.Duration {
	var sum, count time.Duration
	for _, backend := range usable {
		if state := p.states[backend.Incarnation]; state != nil && state.serviceTime.Learned() > 0 {
			sum += state.serviceTime.Learned()
			count++
		}
	}
	if count == 0 {
		return defaultServiceTime
	}
	return sum / count
}

// placeBounded chooses a plain server for the request and adds the request to its load, or
// returns a refusal. Both happen under one lock, so that concurrent requests do not all
// take the same free slot.
func (a *admission) placeBounded(request *Request, view *knowledge.View, usable []*knowledge.Backend) (*placement, *Refusal) {
	a.plain.mu.Lock()
	defer a.plain.mu.Unlock()
	now := boottime.Now() // read under the lock, so that times increase from call to call
	servers, running := a.plainCandidates(usable, now)
	choice := a.policy().ChoosePlain(policy.PlainRequest{
		Target:     request.Route.TargetLatency,
		Remaining:  request.Remaining(now),
		Idempotent: request.Idempotent(),
		Rank:       view.Index.Rank(request.Service, request.Route, request.Account),
		Jitter:     rand.Float64(),
		Offset:     rand.IntN(len(servers)),
	}, servers)
	a.plain.observeWait(request.Service, choice.Wait)
	backend := usable[choice.Server]
	inputs := Inputs{Backend: backend.ID, Wait: choice.Wait, Budget: choice.Budget, Plain: true}
	if !choice.Fits {
		return nil, &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonBusy, RetryAfter: choice.RetryAfter, Inputs: inputs}
	}
	place := &plainPlacement{state: a.plain.state(backend.Incarnation, now)}
	place.sent = policy.SentPlainRequest{At: now, Rounds: policy.PlainRounds(running[choice.Server], backend.Slots)}
	place.state.serviceTime.Begin(&place.sent)
	placed := &placement{backend: backend, load: BackendLoad{Running: 1}, plain: place, inputs: inputs}
	a.loads.begin(backend.Incarnation, placed.load)
	return placed, nil
}

// plainCandidates returns the usable backend servers as candidates, and the requests
// running at each as far as this router knows. The wait of an answer is derived from these
// counts and not from the expected number of requests, which would be biased: requests are
// sent when it is small.
func (a *admission) plainCandidates(usable []*knowledge.Backend, now boottime.Instant) ([]policy.PlainServer, []int) {
	servers, running := make([]policy.PlainServer, len(usable)), make([]int, len(usable))
	mean, dither, routers := a.plain.mean(usable), rand.Float64(), a.peers.Routers()
	paces := a.paces.snapshot()
	for i, backend := range usable {
		state := a.plain.state(backend.Incarnation, now)
		own, _ := a.loads.get(backend.Incarnation)
		others := a.peers.Load(backend.IncarnationHash).Running
		running[i] = own.Running + others
		counts := policy.PlainCounts{Own: own.Running, Others: others, Slots: backend.Slots, Routers: routers}
		servers[i] = policy.PlainServer{
			Running:     state.load.Estimate(counts, dither, now),
			Slots:       backend.Slots,
			SameZone:    backend.Zone == a.zone,
			ServiceTime: state.serviceTime.At(now, mean),
			Slowdown:    paces.Engine(backend.IncarnationHash).Slowdown(),
		}
	}
	return servers, running
}

// recordPlainAnswer records an answer that is no failure of the server. took is the time
// since the request was sent, and success reports whether it is a complete success.
func (a *admission) recordPlainAnswer(placed *placement, success bool, took time.Duration) {
	if placed.plain == nil {
		return
	}
	a.plain.mu.Lock()
	defer a.plain.mu.Unlock()
	placed.plain.answered = true
	if success {
		placed.plain.state.serviceTime.Observe(&placed.plain.sent, took)
	}
}

// maxFailedHold bounds how long a failed request stays in the load of its server. The crash
// detector takes requests that routers report within crash.ReportWindow as evidence that the
// server runs, so requests that a crash has ended must not be reported by then.
const maxFailedHold = crash.SilenceTimeout - crash.ReportWindow

// releasePlain subtracts a request from the load of its plain server. One that ran and
// failed before its answer was due counts until then, at this router and at the others.
// Otherwise a server that fails quickly would seem to have free slots.
func (a *admission) releasePlain(placed *placement, ran bool) {
	place, now := placed.plain, boottime.Now()
	a.plain.mu.Lock()
	place.state.serviceTime.End(&place.sent)
	remaining := place.state.serviceTime.RemainingTime(&place.sent, now)
	a.plain.mu.Unlock()
	release := func() { a.loads.end(placed.backend.Incarnation, placed.load) }
	if !ran || place.answered || remaining == 0 {
		release()
		return
	}
	time.AfterFunc(min(remaining, maxFailedHold), release)
}

// prune removes plain servers that are no longer listed.
func (p *plainServers) prune(backends map[string]*knowledge.Backend, now boottime.Instant) {
	listed := make(map[string]bool, len(backends))
	for _, backend := range backends {
		listed[backend.Incarnation] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation, state := range p.states {
		if !listed[incarnation] && now.Sub(state.lastUsed) > unusedStateTTL {
			delete(p.states, incarnation)
		}
	}
}
