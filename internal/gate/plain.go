package gate

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
)

// PlainSettings bound what is sent to plain services.
type PlainSettings struct {
	// Admission tells to refuse what would wait too long. Every request is sent
	// without it.
	Admission bool
}

// plainState is what a router has learned of one plain server.
type plainState struct {
	load     policy.PlainLoad
	work     policy.ServiceTime
	lastUsed boottime.Instant
}

// plainServers is the table of plain servers by their incarnations. Its methods may
// be called concurrently.
type plainServers struct {
	mu     sync.Mutex
	states map[string]*plainState
	// observeWait takes the wait that was expected at a decision.
	observeWait func(service fleet.Service, wait time.Duration)
}

func newPlainServers() *plainServers {
	return &plainServers{states: make(map[string]*plainState), observeWait: func(fleet.Service, time.Duration) {}}
}

// plainPlace is the place of a request at a plain server under admission control.
type plainPlace struct {
	state    *plainState
	sent     policy.SentPlainRequest
	answered bool // the server's own answer has come, and is no failure
}

// state returns what was learned of an incarnation.
func (p *plainServers) state(incarnation string, now boottime.Instant) *plainState {
	state := p.states[incarnation]
	if state == nil {
		state = &plainState{}
		p.states[incarnation] = state
	}
	state.lastUsed = now
	return state
}

// assumedWork is the service time before any server of a service has answered.
const assumedWork = 10 * time.Millisecond

// mean returns the mean service time of the backend servers that have answered.
func (p *plainServers) mean(usable []*knowledge.Backend) time.Duration {
	var sum, known time.Duration
	for _, backend := range usable {
		if state := p.states[backend.Incarnation]; state != nil && state.work.Learned() > 0 {
			sum += state.work.Learned()
			known++
		}
	}
	if known == 0 {
		return assumedWork
	}
	return sum / known
}

// placeBounded chooses a plain server for the request and counts it in there, or
// refuses it. The choice and the count are one step, so that requests which come
// together do not all take the same free slot.
func (a *admission) placeBounded(request *Request, view *knowledge.View, usable []*knowledge.Backend) (*placement, *Refusal) {
	a.plain.mu.Lock()
	defer a.plain.mu.Unlock()
	now := boottime.Now() // under the lock, so that moments follow each other
	servers, heard := a.lookPlain(usable, now)
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
	place := &plainPlace{state: a.plain.state(backend.Incarnation, now)}
	place.sent = policy.SentPlainRequest{At: now, Rounds: policy.PlainRounds(heard[choice.Server], backend.Slots)}
	place.state.work.Begin(&place.sent)
	placed := &placement{backend: backend, load: BackendLoad{Running: 1}, plain: place, inputs: inputs}
	a.loads.begin(backend.Incarnation, placed.load)
	return placed, nil
}

// lookPlain returns the usable backend servers as candidates, and how many requests
// each has as far as this router has heard. What is expected there is no measure of
// how long an answer waited: requests are sent when little is expected.
func (a *admission) lookPlain(usable []*knowledge.Backend, now boottime.Instant) ([]policy.PlainServer, []int) {
	servers, heard := make([]policy.PlainServer, len(usable)), make([]int, len(usable))
	mean, dither, routers := a.plain.mean(usable), rand.Float64(), a.peers.Routers()
	paces := a.paces.snapshot()
	for i, backend := range usable {
		state := a.plain.state(backend.Incarnation, now)
		own, _ := a.loads.get(backend.Incarnation)
		others := a.peers.Load(backend.IncarnationHash).Running
		heard[i] = own.Running + others
		seen := policy.PlainCounts{Own: own.Running, Others: others, Slots: backend.Slots, Routers: routers}
		servers[i] = policy.PlainServer{
			Running:     state.load.Estimate(seen, dither, now),
			Slots:       backend.Slots,
			SameZone:    backend.Zone == a.zone,
			ServiceTime: state.work.At(now, mean),
			Slowdown:    paces.Engine(backend.IncarnationHash).Slowdown(),
		}
	}
	return servers, heard
}

// recordPlainAnswer notes an answer that is no failure of the server. took is the time
// since the request was sent, and valid tells that the answer is a whole success.
func (a *admission) recordPlainAnswer(placed *placement, valid bool, took time.Duration) {
	if placed.plain == nil {
		return
	}
	a.plain.mu.Lock()
	defer a.plain.mu.Unlock()
	placed.plain.answered = true
	if valid {
		placed.plain.state.work.Observe(&placed.plain.sent, took)
	}
}

// failedCountMost bounds how long a failed request counts at its server. breakWatch takes
// requests reported in breakRecent for a sign of life, so those that a crash has ended must
// not be reported then.
const failedCountMost = silenceTimeout - reportWindow

// leavePlain counts a request out at its plain server. One that ran and failed sooner
// than its answer was due counts until then, here and at the other routers.
func (a *admission) leavePlain(placed *placement, ran bool) {
	place, now := placed.plain, boottime.Now()
	a.plain.mu.Lock()
	place.state.work.End(&place.sent)
	rest := place.state.work.RemainingTime(&place.sent, now)
	a.plain.mu.Unlock()
	leave := func() { a.loads.end(placed.backend.Incarnation, placed.load) }
	if !ran || place.answered || rest == 0 {
		leave()
		return
	}
	time.AfterFunc(min(rest, failedCountMost), leave)
}

// prune forgets plain servers that are no longer listed.
func (p *plainServers) prune(backends map[string]*knowledge.Backend, now boottime.Instant) {
	listed := make(map[string]bool, len(backends))
	for _, backend := range backends {
		listed[backend.Incarnation] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation, state := range p.states {
		if !listed[incarnation] && now.Sub(state.lastUsed) > loadLife {
			delete(p.states, incarnation)
		}
	}
}
