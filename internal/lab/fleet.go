package lab

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/emulator"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/policy"
	"github.com/bluebellchute/bluebellchute/internal/selection"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

const (
	heartbeatInterval = 100 * time.Millisecond
	// startInstant is the simulated start time; an Instant of 0 means never.
	startInstant = boottime.Instant(time.Hour)
	// preferredRouterShare is the fraction of an account's callers that connect
	// to the same router.
	preferredRouterShare = 0.6
)

// engineLoad is the load that requests of one or more routers put on an engine.
type engineLoad struct {
	running         int
	pending, memory float64
}

func (l engineLoad) add(other engineLoad) engineLoad {
	return engineLoad{running: l.running + other.running, pending: l.pending + other.pending, memory: l.memory + other.memory}
}

// router is the state of a simulated router.
type router struct {
	ledger   *shares.Ledger
	headroom policy.Headroom
	rate     policy.ReadRate
	own      []engineLoad // by engine
	others   []engineLoad // sum over the other routers, as of their last heartbeats
	reported []engineLoad // own as of this router's last heartbeat
}

// simulation is the state of one run.
type simulation struct {
	deployment     Deployment
	settings       policy.Settings
	random         *rand.Rand
	now            boottime.Instant
	queue          eventQueue
	routers        []*router
	engines        []*emulator.Engine
	stepping       []bool
	stepEvents     []func() // events of the engine step in progress
	engineHashes   []uint64 // of the engine ids
	shortestTarget time.Duration
	end            boottime.Instant
	result         *Result
}

// scheduledEvent is a function that runs at a simulated time.
type scheduledEvent struct {
	at  boottime.Instant
	run func()
}

// eventQueue is a heap of future events, ordered by time.
type eventQueue []scheduledEvent

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at < a[j].at }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (r *simulation) schedule(d time.Duration, run func()) {
	heap.Push(&r.queue, scheduledEvent{at: r.now.Add(d), run: run})
}

// Run simulates the deployment under the settings. Callers arrive for the given
// length of simulated time.
func Run(deployment Deployment, settings policy.Settings, seed uint64, length time.Duration) Result {
	r := &simulation{
		deployment: deployment,
		settings:   settings,
		random:     rand.New(rand.NewPCG(seed, 3)),
		now:        startInstant,
		end:        startInstant.Add(length),
		stepping:   make([]bool, deployment.Engines),
		result:     newResult(deployment, length),
	}
	for i := range deployment.Engines {
		r.engines = append(r.engines, emulator.NewEngine(deployment.Engine))
		r.engineHashes = append(r.engineHashes, r.random.Uint64()+uint64(i))
	}
	for range deployment.Routers {
		r.routers = append(r.routers, newRouter(deployment.Engines, settings))
	}
	for _, kind := range deployment.Kinds {
		if r.shortestTarget == 0 || kind.TargetLatency < r.shortestTarget {
			r.shortestTarget = kind.TargetLatency
		}
	}
	for i := range r.routers {
		r.schedule(heartbeatInterval*time.Duration(i)/time.Duration(len(r.routers)), func() { r.sendHeartbeat(i) })
	}
	r.schedule(0, r.handleArrival)
	for len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(scheduledEvent)
		r.now = next.at
		next.run()
	}
	r.result.finish()
	return *r.result
}

func newRouter(engines int, settings policy.Settings) *router {
	ledger := shares.NewLedger()
	ledger.ObserveCapacity = settings.ObservedCapacity
	return &router{ledger: ledger, own: make([]engineLoad, engines), others: make([]engineLoad, engines), reported: make([]engineLoad, engines)}
}

// sendHeartbeat reports a router's usage and load to the other routers.
func (r *simulation) sendHeartbeat(index int) {
	sender := r.routers[index]
	usages := sender.ledger.Own(r.now)
	for i, other := range r.routers {
		if i == index {
			continue
		}
		other.ledger.SetOther(string(rune('a'+index)), usages, r.now)
		for engine, now := range sender.own {
			before := sender.reported[engine]
			other.others[engine] = other.others[engine].add(now).add(engineLoad{running: -before.running, pending: -before.pending, memory: -before.memory})
		}
	}
	copy(sender.reported, sender.own)
	if r.now < r.end {
		r.schedule(heartbeatInterval, func() { r.sendHeartbeat(index) })
	}
}

// handleArrival routes a new caller's request and schedules the next arrival.
func (r *simulation) handleArrival() {
	if r.now >= r.end {
		return
	}
	r.route(r.newCaller())
	r.schedule(time.Duration(r.random.ExpFloat64()/r.deployment.RequestsPerSecond*float64(time.Second)), r.handleArrival)
}

// route sends a caller's request to an engine or refuses it, as a router does.
func (r *simulation) route(c *caller) {
	router := r.routers[r.chooseRouter(c)]
	router.ledger.AddRequested(c.account, c.cost, r.now)
	request := policy.ModelRequest{
		Usage:          r.accountUsage(router, c),
		Target:         c.kind.TargetLatency,
		ShortestTarget: r.shortestTarget,
		Headroom:       router.headroom.Value(r.settings.LeastHeadroom),
	}
	tier := r.settings.Tier(request, r.random.Float64())
	if !r.settings.TierOpen(tier, request.Usage) {
		r.refuse(c)
		return
	}
	bounds := r.settings.Bounds(tier, request)
	ranked := selection.Rank(r.engineHashes, func(hash uint64) uint64 { return hash }, c.sharedHash, bounds.MaxEngines)
	demand := selection.Demand{SharedTokens: float64(c.kind.SharedTokens), OwnTokens: c.ownTokens, OutputTokens: float64(c.kind.OutputTokens), Budget: bounds.Budget, CountOwnPrompt: bounds.CountOwnPrompt}
	choice := selection.ChooseEngine(len(ranked), r.candidates(router, ranked), demand, selection.Limits{
		Rate:          router.rate.Estimate(r.deployment.StatedCapacity / float64(r.deployment.Engines)),
		SlotShare:     bounds.SlotShare,
		MemoryShare:   bounds.MemoryShare,
		SecondPenalty: r.settings.SecondPenalty,
	})
	if !choice.Fits {
		r.refuse(c)
		return
	}
	if tier == policy.TierIdle {
		router.ledger.AddIdle(c.account, c.cost, r.now)
	} else {
		router.ledger.AddGranted(c.account, c.cost, r.now)
	}
	r.send(c, router, ranked[choice.Place], engineLoad{running: 1, pending: choice.PromptTokens, memory: float64(c.kind.SharedTokens) + c.ownTokens + float64(c.kind.OutputTokens)})
}

func (r *simulation) accountUsage(router *router, c *caller) policy.AccountUsage {
	return policy.AccountUsage{
		ShareUsed:     router.ledger.ShareUsed(c.account, c.cost, r.deployment.StatedCapacity, r.now),
		EvenShareUsed: router.ledger.EvenShareUsed(c.account, c.cost, r.now),
		Shortage:      router.ledger.Shortage(),
	}
}

// candidates returns a function that gives the load of the engine at a place in
// the ranking.
func (r *simulation) candidates(router *router, ranked []int) func(place int) selection.Engine {
	return func(place int) selection.Engine {
		total := router.own[ranked[place]].add(router.others[ranked[place]])
		return selection.Engine{
			Running: total.running, Slots: r.deployment.Engine.Slots,
			Pending: total.pending, Memory: total.memory, MemoryCapacity: float64(r.deployment.Engine.MemoryTokens),
		}
	}
}

// refuse retries the request once after the Retry-After time, unless the caller
// times out before.
func (r *simulation) refuse(c *caller) {
	wait := r.settings.RetryAfter(c.kind.TargetLatency)
	if c.retried || r.now.Add(wait) > c.arrivedAt.Add(c.kind.Timeout) {
		r.result.recordRefusal(c)
		return
	}
	c.retried = true
	r.schedule(wait, func() { r.route(c) })
}

// send starts a request on an engine.
func (r *simulation) send(c *caller, router *router, index int, added engineLoad) {
	sent := r.now
	pending := router.own[index].add(router.others[index]).pending + added.pending
	router.own[index] = router.own[index].add(added)
	var lastEvent boottime.Instant
	late := false
	request := &emulator.Request{Segments: c.segments, OutputTokens: c.kind.OutputTokens}
	request.OnEvent = func(number int, last bool) {
		r.stepEvents = append(r.stepEvents, func() {
			if number == 1 {
				router.own[index].pending -= added.pending
				router.rate.Observe(pending, r.now.Sub(sent))
				late = r.now.Sub(c.arrivedAt) > c.kind.TargetLatency
			} else {
				late = late || r.now.Sub(lastEvent) > c.kind.TargetGap
			}
			lastEvent = r.now
			if last {
				router.own[index].running--
				router.own[index].memory -= added.memory
				router.headroom.Observe(late)
				r.result.recordAnswer(c, late)
			}
		})
	}
	r.engines[index].Add(request)
	if !r.stepping[index] {
		r.step(index)
	}
}

// step runs one step of an engine; the step's events happen at its end.
func (r *simulation) step(index int) {
	r.stepEvents = nil
	took := r.engines[index].Step()
	r.stepping[index] = took > 0
	if took == 0 {
		return
	}
	events := r.stepEvents
	r.schedule(took, func() {
		for _, event := range events {
			event()
		}
		r.step(index)
	})
}

// chooseRouter returns the index of the router that a caller connects to. Most
// callers of an account connect to the same one.
func (r *simulation) chooseRouter(c *caller) int {
	if r.random.Float64() < preferredRouterShare {
		return c.preferredRouter % r.deployment.Routers
	}
	return r.random.IntN(r.deployment.Routers)
}

// accountName returns the name of the account with the index.
func accountName(index int) fleet.Account {
	return fleet.Account("account-" + string(rune('a'+index%26)) + string(rune('a'+index/26)))
}
