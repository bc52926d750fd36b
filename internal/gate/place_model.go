package gate

import (
	"math/rand/v2"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// modelSearch is the search for an engine for one request.
type modelSearch struct {
	request     *Request
	view        *knowledge.View
	tier        policy.Tier
	facts       policy.ModelRequest
	bounds      policy.Bounds
	protection  policy.Protection
	demand      selection.Demand
	limits      selection.Limits
	ranking     ranking
	segment     string             // last shared part of the prompt, "" for none
	cacheHolder *knowledge.Backend // known to keep the shared parts, nil for none
}

// placeModel chooses an engine for a request for a model and counts the request
// in there, or refuses it. again tells that an engine has declined it before.
func (a *admission) placeModel(request *Request, view *knowledge.View, usable []*knowledge.Backend, declinedBefore bool) (*placement, *Refusal) {
	now := boottime.Now()
	facts := a.facts(request, view, declinedBefore, now)
	tier := a.policy().Tier(facts, rand.Float64())
	if !a.policy().TierOpen(tier, facts.Usage) {
		return nil, a.refuseModel(request, tier, Inputs{Tier: tier, ShareUsed: facts.Usage.ShareUsed})
	}
	search := a.search(request, view, tier, facts, now)
	backend, choice := a.choose(search, usable, now)
	inputs := search.inputs(backend, choice)
	switch {
	case !choice.Fits:
		return nil, a.refuseModel(request, tier, inputs)
	case !search.protection.Allows(choice):
		return nil, a.refuseForCapacity(request, ReasonDisruptive, inputs)
	}
	placed := &placement{
		backend: backend,
		load: BackendLoad{
			Running: 1,
			Pending: choice.PromptTokens,
			Memory:  search.demand.OwnTokens + search.demand.SharedTokens + search.demand.OutputTokens,
		},
		pending: choice.PendingTokens + choice.PromptTokens,
		model:   true,
		tier:    tier,
		inputs:  inputs,
	}
	if a.canFetch(view, request.Service) {
		placed.fetchSource = a.fetchSource(search, placed.backend, now)
	}
	a.admit(request, placed, now)
	return placed, nil
}

// search returns what the search for an engine goes by.
func (a *admission) search(request *Request, view *knowledge.View, tier policy.Tier, facts policy.ModelRequest, now boottime.Instant) *modelSearch {
	bounds := a.policy().Bounds(tier, facts)
	search := &modelSearch{
		request: request,
		view:    view,
		tier:    tier,
		facts:   facts,
		bounds:  bounds,
		demand:  a.demand(request, bounds),
		limits:  a.limits(view, request.Service, bounds),
		segment: request.Prompt.SharedSegment(),
	}
	search.cacheHolder = a.cacheHolder(search.segment, view, now)
	if !a.paces.hasReports(request.Service) {
		return search
	}
	search.protection = a.policy().Protection(tier, view.Index.MinTargetGap(request.Service))
	search.limits.Gap = search.protection.Gap
	reading := selection.ReadingTime(search.demand.OwnTokens, search.limits.Rate)
	search.ranking = ranking{
		weighted: true,
		snapshot: a.paces.snapshot(),
		exponent: search.protection.WeightExponent(reading),
		cache:    a.lists,
	}
	return search
}

// choose returns the engine for the request among the usable ones, of which there must
// be one, and what it finds there. One of the router's own availability zone comes first
// for some requests, where it has as much room as any other.
func (a *admission) choose(search *modelSearch, usable []*knowledge.Backend, now boottime.Instant) (*knowledge.Backend, selection.Choice) {
	frequent := a.recordDemand(search.segment, now) // counts the request, wherever it is placed
	// While some engines get no requests, the list is built for each one.
	filtered := !sameList(usable, search.serving())
	backend, choice := a.chooseAmong(search, usable, filtered, search.protection.MaxEngines(search.bounds))
	if backend.Zone == a.zone && choice.FitsUndisrupted() {
		return backend, choice
	}
	if ownZone := a.ownZoneEngines(search, usable, filtered, frequent); len(ownZone) > 0 {
		if ownZoneBackend, ownZoneChoice := a.chooseAmong(search, ownZone, filtered, selection.PreferredEngines); preferOwnZone(ownZoneChoice, choice, search.request.Route.TargetLatency) {
			return ownZoneBackend, ownZoneChoice
		}
	}
	return backend, choice
}

// chooseAmong chooses among the first engines of a list that is kept, or drawn from those
// that serve.
func (a *admission) chooseAmong(search *modelSearch, usable []*knowledge.Backend, filtered bool, limit int) (*knowledge.Backend, selection.Choice) {
	var ranked []int
	if filtered {
		ranked = search.ranking.rankFiltered(usable, search.serving(), search.segment, limit)
	} else {
		ranked = search.ranking.rank(usable, search.segment, limit)
	}
	engine := a.engines(search, usable, ranked)
	choice := selection.ChooseEngine(len(ranked), engine, search.demand, search.limits)
	return usable[ranked[choice.Place]], choice
}

// serving returns the engines of the service that get requests, as the view lists them.
func (s *modelSearch) serving() []*knowledge.Backend { return s.view.Serving[s.request.Service] }

// inputs returns what decided on the place of the request.
func (s *modelSearch) inputs(backend *knowledge.Backend, choice selection.Choice) Inputs {
	return Inputs{
		Tier:      s.tier,
		Backend:   backend.ID,
		ShareUsed: s.facts.Usage.ShareUsed,
		Ahead:     choice.Ahead,
		Budget:    s.demand.Budget,
		Shared:    choice.Place == 0,
		Prefill:   choice.Prefill,
		Gap:       s.protection.Gap,
		Disrupts:  choice.Disrupts,
		Moved:     choice.Moved,
	}
}

// facts returns what the tier and the bounds of a request rest on.
func (a *admission) facts(request *Request, view *knowledge.View, declinedBefore bool, now boottime.Instant) policy.ModelRequest {
	return policy.ModelRequest{
		Usage:          a.standing(request, view.Index.Configuration.Limits.TokensPerSecond, now),
		Target:         request.Route.TargetLatency,
		ShortestTarget: view.Index.MinTargetLatency(request.Service),
		Rank:           view.Index.Rank(request.Service, request.Route, request.Account),
		Headroom:       a.loads.headroom(request.Service, a.leastHeadroom(request.Service)),
		DeclinedBefore: declinedBefore,
	}
}

// leastHeadroom returns how far late answers lower the budgets of a service at most.
func (a *admission) leastHeadroom(service fleet.Service) float64 {
	if a.paces.hasReports(service) {
		return a.policy().HeadroomFloor()
	}
	return a.policy().LeastHeadroom
}

// standing returns how much of its share the request's account will have got.
func (a *admission) standing(request *Request, capacity float64, now boottime.Instant) policy.AccountUsage {
	if request.Account == nil {
		return policy.AccountUsage{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.ObserveCapacity = a.policy().ObservedCapacity
	return policy.AccountUsage{
		ShareUsed:     a.ledger.ShareUsed(request.Account.Name, request.Prompt.Cost(), capacity, now),
		EvenShareUsed: a.ledger.EvenShareUsed(request.Account.Name, request.Prompt.Cost(), now),
		Shortage:      a.ledger.Shortage(),
	}
}

// refuseModel refuses a request that no engine takes within its bounds.
func (a *admission) refuseModel(request *Request, tier policy.Tier, inputs Inputs) *Refusal {
	reason := ReasonBusy
	if tier == policy.TierIdle {
		reason = ReasonOverShare
	}
	return a.refuseForCapacity(request, reason, inputs)
}

// refuseForCapacity refuses a request for want of room.
func (a *admission) refuseForCapacity(request *Request, reason Reason, inputs Inputs) *Refusal {
	refusal := a.refuse(request, reason)
	refusal.RetryAfter = a.policy().RetryAfterByUsage(request.Route.TargetLatency, inputs.ShareUsed, rand.Float64())
	refusal.Inputs = inputs
	return refusal
}

// admit counts a placed request in.
func (a *admission) admit(request *Request, placed *placement, now boottime.Instant) {
	a.loads.begin(placed.backend.Incarnation, placed.load)
	if request.Account == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if placed.tier == policy.TierIdle {
		a.ledger.AddIdle(request.Account.Name, request.Prompt.Cost(), now)
		return
	}
	a.ledger.AddGranted(request.Account.Name, request.Prompt.Cost(), now)
}

func (a *admission) demand(request *Request, bounds policy.Bounds) selection.Demand {
	prompt := request.Prompt
	shared := float64(prompt.SharedTokens())
	output := prompt.MaxOutput
	if prompt.ExpectedOutput > 0 {
		output = min(output, prompt.ExpectedOutput)
	}
	return selection.Demand{
		SharedTokens:   shared,
		OwnTokens:      max(float64(prompt.Tokens)-shared, 0),
		OutputTokens:   float64(output),
		Budget:         bounds.Budget,
		CountOwnPrompt: bounds.CountOwnPrompt,
	}
}

// engines returns a look at the candidates among the usable backend servers, by
// their place in the order of the request's key.
func (a *admission) engines(search *modelSearch, usable []*knowledge.Backend, ranked []int) func(place int) selection.Engine {
	capacity := 0.0
	if settings := search.view.Index.Service(search.request.Service); settings != nil {
		capacity = float64(settings.KVCapacity)
	}
	return func(place int) selection.Engine {
		backend := usable[ranked[place]]
		own, _ := a.loads.get(backend.Incarnation)
		load := own.Add(a.peers.Load(backend.IncarnationHash))
		engine := selection.Engine{
			Running:        load.Running,
			Slots:          backend.Slots,
			Pending:        load.Pending,
			Memory:         load.Memory,
			MemoryCapacity: capacity,
			CachesShared:   backend == search.cacheHolder,
		}
		if search.ranking.weighted {
			estimate := search.ranking.snapshot.Engine(backend.IncarnationHash)
			engine.Rate, engine.Slowdown = estimate.Rate, estimate.Slowdown()
			if engine.Rate == 0 { // too little has been read yet to know the service's rate
				engine.Rate = search.limits.Rate * estimate.Speed()
			}
		}
		return engine
	}
}

func backendIDHash(backend *knowledge.Backend) uint64 { return backend.IDHash }

// defaultReadRate is the prompt tokens that an engine reads in a second before
// anything is known of it, when no capacity is stated either.
const defaultReadRate = 20_000

func (a *admission) limits(view *knowledge.View, service fleet.Service, bounds policy.Bounds) selection.Limits {
	assumed := float64(defaultReadRate)
	stated := view.Index.Configuration.Limits.TokensPerSecond
	if count := len(view.ByService[service]); stated > 0 && count > 0 {
		assumed = stated / float64(count)
	}
	return selection.Limits{
		SecondPenalty: a.policy().SecondPenalty,
		Rate:          a.loads.rate(service, assumed),
		SlotShare:     bounds.SlotShare,
		Fallbacks:     bounds.MaxEngines,
		MemoryShare:   bounds.MemoryShare,
	}
}

// canFetch tells whether engines of the service fetch prompt parts from each
// other.
func (a *admission) canFetch(view *knowledge.View, service fleet.Service) bool {
	settings := view.Index.Service(service)
	return a.policy().Fetch && settings != nil && settings.Fetches
}
