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
	// beatInterval is the pause between two beats of a router.
	beatInterval = 100 * time.Millisecond
	// begin is where simulated clocks start, as 0 stands for never.
	begin = boottime.Instant(time.Hour)
	// homeShare is the part of an account's callers that come to one router.
	homeShare = 0.6
)

// load is what a router has at an engine.
type load struct {
	running         int
	pending, memory float64
}

func (l load) add(other load) load {
	return load{running: l.running + other.running, pending: l.pending + other.pending, memory: l.memory + other.memory}
}

// router decides by what it knows.
type router struct {
	ledger   *shares.Ledger
	headroom policy.Headroom
	rate     policy.ReadRate
	own      []load // by engine
	others   []load // sum over the other routers, as of their last beats
	told     []load // as of this router's last beat
}

// fleetRun is one run.
type fleetRun struct {
	deployment Deployment
	settings   policy.Settings
	random     *rand.Rand
	now        boottime.Instant
	agenda     agenda
	routers    []*router
	engines    []*emulator.Engine
	stepping   []bool
	emitted    []func() // events of the step that is made
	hashes     []uint64 // of the engines' ids
	tightest   time.Duration
	until      boottime.Instant
	result     *Result
}

// happening is something that happens at a moment.
type happening struct {
	at  boottime.Instant
	run func()
}

// agenda is a heap of what is to happen.
type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (r *fleetRun) after(d time.Duration, run func()) {
	heap.Push(&r.agenda, happening{at: r.now.Add(d), run: run})
}

// Run plays the deployment for so long under the settings.
func Run(deployment Deployment, settings policy.Settings, seed uint64, length time.Duration) Result {
	r := &fleetRun{
		deployment: deployment,
		settings:   settings,
		random:     rand.New(rand.NewPCG(seed, 3)),
		now:        begin,
		until:      begin.Add(length),
		stepping:   make([]bool, deployment.Engines),
		result:     newResult(deployment, length),
	}
	for i := range deployment.Engines {
		r.engines = append(r.engines, emulator.NewEngine(deployment.Engine))
		r.hashes = append(r.hashes, r.random.Uint64()+uint64(i))
	}
	for range deployment.Routers {
		r.routers = append(r.routers, newRouter(deployment.Engines, settings))
	}
	for _, kind := range deployment.Kinds {
		if r.tightest == 0 || kind.Target < r.tightest {
			r.tightest = kind.Target
		}
	}
	for i := range r.routers {
		r.after(beatInterval*time.Duration(i)/time.Duration(len(r.routers)), func() { r.beat(i) })
	}
	r.after(0, r.arrive)
	for len(r.agenda) > 0 {
		next := heap.Pop(&r.agenda).(happening)
		r.now = next.at
		next.run()
	}
	r.result.finish()
	return *r.result
}

func newRouter(engines int, settings policy.Settings) *router {
	ledger := shares.NewLedger()
	ledger.ObserveCapacity = settings.ObservedCapacity
	return &router{ledger: ledger, own: make([]load, engines), others: make([]load, engines), told: make([]load, engines)}
}

// beat tells the other routers what one has.
func (r *fleetRun) beat(index int) {
	sender := r.routers[index]
	uses := sender.ledger.Own(r.now)
	for i, other := range r.routers {
		if i == index {
			continue
		}
		other.ledger.SetOther(string(rune('a'+index)), uses, r.now)
		for engine, now := range sender.own {
			before := sender.told[engine]
			other.others[engine] = other.others[engine].add(now).add(load{running: -before.running, pending: -before.pending, memory: -before.memory})
		}
	}
	copy(sender.told, sender.own)
	if r.now < r.until {
		r.after(beatInterval, func() { r.beat(index) })
	}
}

// arrive lets a caller come, and the next one.
func (r *fleetRun) arrive() {
	if r.now >= r.until {
		return
	}
	r.decide(r.draw())
	r.after(time.Duration(r.random.ExpFloat64()/r.deployment.PerSecond*float64(time.Second)), r.arrive)
}

// decide places a caller's request or refuses it, as a router does.
func (r *fleetRun) decide(c *caller) {
	router := r.routers[r.routerOf(c)]
	router.ledger.AddRequested(c.account, c.cost, r.now)
	facts := policy.ModelRequest{
		Usage:          r.standing(router, c),
		Target:         c.kind.Target,
		ShortestTarget: r.tightest,
		Headroom:       router.headroom.Value(r.settings.LeastHeadroom),
	}
	tier := r.settings.Tier(facts, r.random.Float64())
	if !r.settings.TierOpen(tier, facts.Usage) {
		r.refuse(c)
		return
	}
	bounds := r.settings.Bounds(tier, facts)
	ranked := selection.Rank(r.hashes, func(hash uint64) uint64 { return hash }, c.key, bounds.MaxEngines)
	demand := selection.Demand{SharedTokens: float64(c.kind.Shared), OwnTokens: c.own, OutputTokens: float64(c.kind.Output), Budget: bounds.Budget, CountOwnPrompt: bounds.CountOwnPrompt}
	choice := selection.ChooseEngine(len(ranked), r.candidates(router, ranked), demand, selection.Limits{
		Rate:          router.rate.Estimate(r.deployment.Stated / float64(r.deployment.Engines)),
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
	r.send(c, router, ranked[choice.Place], load{running: 1, pending: choice.PromptTokens, memory: float64(c.kind.Shared) + c.own + float64(c.kind.Output)})
}

func (r *fleetRun) standing(router *router, c *caller) policy.AccountUsage {
	return policy.AccountUsage{
		ShareUsed:     router.ledger.ShareUsed(c.account, c.cost, r.deployment.Stated, r.now),
		EvenShareUsed: router.ledger.EvenShareUsed(c.account, c.cost, r.now),
		Shortage:      router.ledger.Shortage(),
	}
}

// candidates returns a look at the engines by their place in a key's order.
func (r *fleetRun) candidates(router *router, ranked []int) func(place int) selection.Engine {
	return func(place int) selection.Engine {
		all := router.own[ranked[place]].add(router.others[ranked[place]])
		return selection.Engine{
			Running: all.running, Slots: r.deployment.Engine.Slots,
			Pending: all.pending, Memory: all.memory, MemoryCapacity: float64(r.deployment.Engine.MemoryTokens),
		}
	}
}

// refuse lets a caller come back once, when it was told to.
func (r *fleetRun) refuse(c *caller) {
	wait := r.settings.RetryAfter(c.kind.Target)
	if c.returned || r.now.Add(wait) > c.came.Add(c.kind.Timeout) {
		r.result.refused(c)
		return
	}
	c.returned = true
	r.after(wait, func() { r.decide(c) })
}

// send runs a request at an engine.
func (r *fleetRun) send(c *caller, router *router, index int, entered load) {
	sent := r.now
	pending := router.own[index].add(router.others[index]).pending + entered.pending
	router.own[index] = router.own[index].add(entered)
	var last boottime.Instant
	late := false
	request := &emulator.Request{Segments: c.parts, OutputTokens: c.kind.Output}
	request.OnEvent = func(number int, whole bool) {
		r.emitted = append(r.emitted, func() {
			if number == 1 {
				router.own[index].pending -= entered.pending
				router.rate.Observe(pending, r.now.Sub(sent))
				late = r.now.Sub(c.came) > c.kind.Target
			} else {
				late = late || r.now.Sub(last) > c.kind.Gap
			}
			last = r.now
			if whole {
				router.own[index].running--
				router.own[index].memory -= entered.memory
				router.headroom.Observe(late)
				r.result.answered(c, late)
			}
		})
	}
	r.engines[index].Add(request)
	if !r.stepping[index] {
		r.step(index)
	}
}

// step makes one step of an engine; its events happen at its end.
func (r *fleetRun) step(index int) {
	r.emitted = nil
	took := r.engines[index].Step()
	r.stepping[index] = took > 0
	if took == 0 {
		return
	}
	emitted := r.emitted
	r.after(took, func() {
		for _, event := range emitted {
			event()
		}
		r.step(index)
	})
}

// routerOf returns the router that a caller comes to: most callers of an account
// come to the same one.
func (r *fleetRun) routerOf(c *caller) int {
	if r.random.Float64() < homeShare {
		return c.home % r.deployment.Routers
	}
	return r.random.IntN(r.deployment.Routers)
}

// accountName names an account by its place.
func accountName(place int) fleet.Account {
	return fleet.Account("account-" + string(rune('a'+place%26)) + string(rune('a'+place/26)))
}
