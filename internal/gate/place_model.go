package gate

import (
	"math/rand/v2"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// modelSearch holds everything that the choice of an engine for one request depends on,
// except the list of usable engines.
type modelSearch struct {
	request      *Request
	view         *knowledge.View
	tier         policy.Tier
	modelRequest policy.ModelRequest
	bounds       policy.Bounds
	protection   policy.Protection
	demand       selection.Demand
	limits       selection.Limits
	ranking      ranking
	segment      string             // last shared segment of the prompt, "" for none
	cacheHolder  *knowledge.Backend // caches the shared segments, nil if unknown
}

// placeModel chooses an engine for a model request and adds the request to its load, or
// returns a refusal. declinedBefore reports whether an engine has already declined the
// request.
func (a *admission) placeModel(request *Request, view *knowledge.View, usable []*knowledge.Backend, declinedBefore bool) (*placement, *Refusal) {
	now := boottime.Now()
	modelRequest := a.modelRequest(request, view, declinedBefore, now)
	tier := a.policy().Tier(modelRequest, rand.Float64())
	if !a.policy().TierOpen(tier, modelRequest.Usage) {
		return nil, a.refuseModel(request, tier, Inputs{Tier: tier, ShareUsed: modelRequest.Usage.ShareUsed})
	}
	search := a.newModelSearch(request, view, tier, modelRequest, now)
	backend, choice := a.chooseEngine(search, usable, now)
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

// newModelSearch derives the bounds, limits and ranking that apply to the request. Paces
// are used only if servers of the service report their work times.
func (a *admission) newModelSearch(request *Request, view *knowledge.View, tier policy.Tier, modelRequest policy.ModelRequest, now boottime.Instant) *modelSearch {
	bounds := a.policy().Bounds(tier, modelRequest)
	search := &modelSearch{
		request:      request,
		view:         view,
		tier:         tier,
		modelRequest: modelRequest,
		bounds:       bounds,
		demand:       a.engineDemand(request, bounds),
		limits:       a.engineLimits(view, request.Service, bounds),
		segment:      placementSegment(request),
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

// placementSegment returns what a request is placed by: the last shared segment of its prompt,
// or what no other request has if it is scattered.
func placementSegment(request *Request) string {
	if request.scattered {
		return request.ID
	}
	return request.Prompt.SharedSegment()
}

// chooseEngine chooses an engine for the request among the usable ones, of which there must
// be at least one, and counts a request for the segment. For some requests it prefers an
// engine of the router's own availability zone that has as much room as the best one of all
// zones.
func (a *admission) chooseEngine(search *modelSearch, usable []*knowledge.Backend, now boottime.Instant) (*knowledge.Backend, selection.Choice) {
	// Counts the request, wherever it is placed.
	frequent := !search.request.scattered && a.recordDemand(search.segment, now)
	// While some engines get no requests, the list of usable ones is built for each
	// request.
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

// chooseAmong chooses among the usable engines that rank first for the segment, at most
// limit of them; see ranking. filtered reports whether usable was built from the serving
// engines for this request, rather than being a list of the view.
func (a *admission) chooseAmong(search *modelSearch, usable []*knowledge.Backend, filtered bool, limit int) (*knowledge.Backend, selection.Choice) {
	var ranked []int
	if filtered {
		ranked = search.ranking.rankFiltered(usable, search.serving(), search.segment, limit)
	} else {
		ranked = search.ranking.rank(usable, search.segment, limit)
	}
	engineAt := a.engineStates(search, usable, ranked)
	choice := selection.ChooseEngine(len(ranked), engineAt, search.demand, search.limits)
	return usable[ranked[choice.Place]], choice
}

// serving returns the engines of the service that get requests, as listed by the view.
func (s *modelSearch) serving() []*knowledge.Backend { return s.view.Serving[s.request.Service] }

// inputs returns the values behind the decision, for the request log.
func (s *modelSearch) inputs(backend *knowledge.Backend, choice selection.Choice) Inputs {
	return Inputs{
		Tier:      s.tier,
		Backend:   backend.ID,
		ShareUsed: s.modelRequest.Usage.ShareUsed,
		Ahead:     choice.Ahead,
		Budget:    s.demand.Budget,
		Shared:    choice.Place == 0,
		Prefill:   choice.Prefill,
		Gap:       s.protection.Gap,
		Disrupts:  choice.Disrupts,
		Moved:     choice.Moved,
	}
}

// modelRequest returns what the tier and the bounds of a request depend on.
func (a *admission) modelRequest(request *Request, view *knowledge.View, declinedBefore bool, now boottime.Instant) policy.ModelRequest {
	return policy.ModelRequest{
		Usage:          a.accountUsage(request, view.Index.Configuration.Limits.TokensPerSecond, now),
		Target:         request.Route.TargetLatency,
		ShortestTarget: view.Index.MinTargetLatency(request.Service),
		Rank:           view.Index.Rank(request.Service, request.Route, request.Account),
		Headroom:       a.loads.headroom(request.Service, a.leastHeadroom(request.Service)),
		DeclinedBefore: declinedBefore,
		Continues:      request.Continues,
	}
}

// leastHeadroom returns the minimum to which late answers lower the headroom of a service:
// the configured one, or a higher one if streams are protected there.
func (a *admission) leastHeadroom(service fleet.Service) float64 {
	if a.paces.hasReports(service) {
		return a.policy().HeadroomFloor()
	}
	return a.policy().LeastHeadroom
}

// accountUsage returns how much of its share the request's account will have used with this
// request. It also applies the current ObservedCapacity setting and the number of unheard routers to the
// ledger.
func (a *admission) accountUsage(request *Request, capacity float64, now boottime.Instant) policy.AccountUsage {
	if request.Account == nil {
		return policy.AccountUsage{}
	}
	unheard := a.peers.Unheard(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.SetUnheard(unheard)
	a.ledger.ObserveCapacity = a.policy().ObservedCapacity
	return policy.AccountUsage{
		ShareUsed:     a.ledger.ShareUsed(request.Account.Name, request.Prompt.Cost(), capacity, now),
		EvenShareUsed: a.ledger.EvenShareUsed(request.Account.Name, request.Prompt.Cost(), now),
		Shortage:      a.ledger.Shortage(),
	}
}

// refuseModel refuses a request whose tier is closed, or that no engine accepts within its
// bounds. For the idle tier the reason is that the account has used its share, for other
// tiers that the engines are busy.
func (a *admission) refuseModel(request *Request, tier policy.Tier, inputs Inputs) *Refusal {
	reason := ReasonBusy
	if tier == policy.TierIdle {
		reason = ReasonOverShare
	}
	return a.refuseForCapacity(request, reason, inputs)
}

// refuseForCapacity returns a refusal whose Retry-After depends on how much of its share the
// account has used.
func (a *admission) refuseForCapacity(request *Request, reason Reason, inputs Inputs) *Refusal {
	refusal := a.refuse(request, reason)
	refusal.RetryAfter = a.policy().RetryAfterByUsage(request.Route.TargetLatency, inputs.ShareUsed, rand.Float64())
	refusal.Inputs = inputs
	return refusal
}

// admit adds a placed request to the load of its engine and to the usage of its account.
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

// engineDemand returns what the request needs of an engine. Its output counts with the
// expected length if that is known and below the maximum.
func (a *admission) engineDemand(request *Request, bounds policy.Bounds) selection.Demand {
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

// engineStates returns a function that returns the state of an engine by its position in
// ranked, which holds indices in usable.
func (a *admission) engineStates(search *modelSearch, usable []*knowledge.Backend, ranked []int) func(place int) selection.Engine {
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
			if engine.Rate == 0 { // too little was observed to know the service's rate
				engine.Rate = search.limits.Rate * estimate.Speed()
			}
		}
		return engine
	}
}

func backendIDHash(backend *knowledge.Backend) uint64 { return backend.IDHash }

// defaultReadRate is how many prompt tokens per second an engine is assumed to read before
// the first observation, if no capacity is configured either.
const defaultReadRate = 20_000

// engineLimits returns the limits for the choice of an engine of the service. Before the
// first observation, the engines are assumed to share the stated capacity evenly.
func (a *admission) engineLimits(view *knowledge.View, service fleet.Service, bounds policy.Bounds) selection.Limits {
	assumedRate := float64(defaultReadRate)
	stated := view.Index.Configuration.Limits.TokensPerSecond
	if count := len(view.ByService[service]); stated > 0 && count > 0 {
		assumedRate = stated / float64(count)
	}
	return selection.Limits{
		SecondPenalty: a.policy().SecondPenalty,
		Rate:          a.loads.rate(service, assumedRate),
		SlotShare:     bounds.SlotShare,
		PartialSlot:   bounds.PartialSlot,
		Fallbacks:     bounds.MaxEngines,
		MemoryShare:   bounds.MemoryShare,
	}
}

// canFetch reports whether engines of the service can fetch prompt segments from each
// other.
func (a *admission) canFetch(view *knowledge.View, service fleet.Service) bool {
	settings := view.Index.Service(service)
	return a.policy().Fetch && settings != nil && settings.Fetches
}
