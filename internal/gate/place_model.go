package gate

import (
	"math/rand/v2"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/policy"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// placeModel chooses an engine for a request for a model and counts the request
// in there, or refuses it. again tells that an engine has declined it before.
func (a *admission) placeModel(request *Request, view *knowledge.View, usable []*knowledge.Backend, again bool) (*placement, *Refusal) {
	now := boottime.Now()
	facts := a.facts(request, view, again, now)
	tier := a.policy().Tier(facts, rand.Float64())
	if !a.policy().Open(tier, facts.Standing) {
		return nil, a.refuseModel(request, tier, Inputs{Tier: tier, Standing: facts.Standing.Got})
	}
	bounds := a.policy().Bounds(tier, facts)
	part := request.Prompt.SharedPart()
	keeper := a.keeper(part, view, now)
	ranked := selection.Rank(usable, idHash, selection.Key(part), bounds.Engines)
	demand := a.demand(request, bounds)
	engine := a.engines(view, request.Service, usable, ranked, keeper)
	choice := selection.Model(len(ranked), engine, demand, a.limits(view, request.Service, bounds))
	chosen := ranked[choice.Place]
	inputs := Inputs{
		Tier:     tier,
		Backend:  usable[chosen].ID,
		Standing: facts.Standing.Got,
		Ahead:    choice.Ahead,
		Budget:   demand.Budget,
		Shared:   choice.Place == 0,
	}
	if !choice.Fits {
		return nil, a.refuseModel(request, tier, inputs)
	}
	placed := &placement{
		backend: usable[chosen],
		load: BackendLoad{
			Running: 1,
			Pending: choice.Tokens,
			Memory:  demand.Own + demand.Shared + demand.Output,
		},
		pending: choice.Before + choice.Tokens,
		model:   true,
		tier:    tier,
		inputs:  inputs,
	}
	if a.canFetch(view, request.Service) {
		placed.holder = a.holder(request, view, placed.backend, keeper, now)
	}
	a.enter(request, placed, now)
	return placed, nil
}

// facts returns what the tier and the bounds of a request rest on.
func (a *admission) facts(request *Request, view *knowledge.View, again bool, now boottime.Instant) policy.Facts {
	return policy.Facts{
		Standing: a.standing(request, view.Index.Configuration.Limits.TokensPerSecond, now),
		Target:   request.Route.TargetLatency,
		Tightest: view.Index.Tightest(request.Service),
		Rank:     view.Index.Rank(request.Service, request.Route, request.Account),
		Headroom: a.loads.headroom(request.Service, a.policy().LeastHeadroom),
		Again:    again,
	}
}

// standing returns how much of its share the request's account will have got.
func (a *admission) standing(request *Request, capacity float64, now boottime.Instant) policy.Standing {
	if request.Account == nil {
		return policy.Standing{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Observe = a.policy().ObservedCapacity
	return policy.Standing{
		Got:      a.ledger.Standing(request.Account.Name, request.Prompt.Cost(), capacity, now),
		Whole:    a.ledger.Whole(request.Account.Name, request.Prompt.Cost(), now),
		Shortage: a.ledger.Shortage(),
	}
}

// refuseModel refuses a request that no engine takes within its bounds.
func (a *admission) refuseModel(request *Request, tier policy.Tier, inputs Inputs) *Refusal {
	reason := ReasonBusy
	if tier == policy.TierIdle {
		reason = ReasonShare
	}
	refusal := a.refuse(request, reason)
	refusal.Inputs = inputs
	return refusal
}

// enter counts a placed request in.
func (a *admission) enter(request *Request, placed *placement, now boottime.Instant) {
	a.loads.begin(placed.backend.Incarnation, placed.load)
	if request.Account == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if placed.tier == policy.TierIdle {
		a.ledger.GotIdle(request.Account.Name, request.Prompt.Cost(), now)
		return
	}
	a.ledger.Got(request.Account.Name, request.Prompt.Cost(), now)
}

func (a *admission) demand(request *Request, bounds policy.Bounds) selection.Demand {
	prompt := request.Prompt
	shared := float64(prompt.SharedTokens())
	output := prompt.MaxOutput
	if prompt.ExpectedOutput > 0 {
		output = min(output, prompt.ExpectedOutput)
	}
	return selection.Demand{
		Shared: shared,
		Own:    max(float64(prompt.Tokens)-shared, 0),
		Output: float64(output),
		Budget: bounds.Budget,
		Whole:  bounds.Whole,
	}
}

// engines returns a look at the candidates among the usable backend servers, by
// their place in the order of the request's key. keeper is the one that is known to
// keep its shared parts, nil for none.
func (a *admission) engines(view *knowledge.View, service fleet.Service, usable []*knowledge.Backend, ranked []int, keeper *knowledge.Backend) func(place int) selection.Engine {
	capacity := 0.0
	if settings := view.Index.Service(service); settings != nil {
		capacity = float64(settings.KVCapacity)
	}
	return func(place int) selection.Engine {
		backend := usable[ranked[place]]
		own, _ := a.loads.get(backend.Incarnation)
		load := own.Add(a.peers.Load(backend.IncarnationHash))
		return selection.Engine{
			Running:        load.Running,
			Slots:          backend.Slots,
			Pending:        load.Pending,
			Memory:         load.Memory,
			MemoryCapacity: capacity,
			Keeps:          backend == keeper,
		}
	}
}

func idHash(backend *knowledge.Backend) uint64 { return backend.IDHash }

// assumedRate is the prompt tokens that an engine reads in a second before
// anything is known of it, when no capacity is stated either.
const assumedRate = 20_000

func (a *admission) limits(view *knowledge.View, service fleet.Service, bounds policy.Bounds) selection.Limits {
	assumed := float64(assumedRate)
	stated := view.Index.Configuration.Limits.TokensPerSecond
	if count := len(view.ByService[service]); stated > 0 && count > 0 {
		assumed = stated / float64(count)
	}
	return selection.Limits{
		SecondPenalty: a.policy().SecondPenalty,
		Rate:          a.loads.rate(service, assumed),
		SlotShare:     bounds.Slots,
		MemoryShare:   bounds.Memory,
	}
}

// canFetch tells whether engines of the service fetch prompt parts from each
// other.
func (a *admission) canFetch(view *knowledge.View, service fleet.Service) bool {
	settings := view.Index.Service(service)
	return a.policy().Fetch && settings != nil && settings.Fetches
}
