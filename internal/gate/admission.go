package gate

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/selection"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// AdmissionSettings bound what is sent to model engines.
type AdmissionSettings struct {
	// BudgetShare is the part of a route's target latency that may pass
	// before an engine has read the prompts ahead of a request and its own.
	BudgetShare float64
	SlotShare   float64 // part of an engine's slots that is used
	MemoryShare float64 // part of an engine's memory that requests may fill
	// SurplusShare is the part of the budget for requests of accounts that
	// have had their share.
	SurplusShare float64
	// SurplusMost is how many times its share an account may get at most.
	SurplusMost float64
	// RetryShare is the part of a route's target latency after which refused
	// callers are told to come back. Their time counts from their first try,
	// so what is left must suffice for an answer.
	RetryShare float64
}

// placement is a request's place at a backend server.
type placement struct {
	backend *knowledge.Backend
	load    BackendLoad
	pending float64 // prompt tokens waiting there, this request's included
	model   bool
	// holder is the address of an engine that probably keeps shared parts
	// which the chosen one lacks, "" for none.
	holder fleet.Address
	// part is the key of the shared part that the engine reads, 0 for none.
	part   uint64
	inputs Inputs
}

// admission decides which request is sent where. Its methods may be called
// concurrently.
type admission struct {
	settings *currentSettings
	zone     fleet.Zone
	loads    *loads
	peers    Peers

	reading *reading

	mu     sync.Mutex
	ledger *shares.Ledger
	turn   int
}

func newAdmission(settings *currentSettings, zone fleet.Zone, peers Peers) *admission {
	return &admission{
		settings: settings,
		zone:     zone,
		loads:    newLoads(),
		reading:  newReading(),
		peers:    peers,
		ledger:   shares.NewLedger(),
	}
}

// asked counts a request that has arrived.
func (a *admission) asked(request *Request) {
	if request.Account == nil || request.Prompt.Tokens == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Asked(request.Account.Name, request.Prompt.Cost(), boottime.Now())
}

// place chooses a backend server for the request and counts the request in
// there, or refuses it. excluded are backend servers that failed it before.
func (a *admission) place(request *Request, view *knowledge.View, excluded map[string]bool) (*placement, *Refusal) {
	usable := a.usable(view, request.Service, excluded)
	if len(usable) == 0 {
		return nil, a.refuse(request, ReasonNoBackend)
	}
	if request.Prompt.Tokens > 0 {
		return a.placeModel(request, view, usable, len(excluded) > 0)
	}
	return a.placePlain(usable), nil
}

func (a *admission) refuse(request *Request, reason Reason) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: a.retryAfter(request)}
}

// leastRetry is the shortest time to come back: below it, callers would come
// back before anything has changed.
const leastRetry = 50 * time.Millisecond

// retryAfter returns the time to come back for a request that has not run.
func (a *admission) retryAfter(request *Request) time.Duration {
	share := a.settings.get().Admission.RetryShare
	return max(time.Duration(float64(request.Route.TargetLatency)*share), leastRetry)
}

// usable returns the backend servers of the service that may take a request.
// Shunned ones are among them only when there is no other.
func (a *admission) usable(view *knowledge.View, service fleet.Service, excluded map[string]bool) []*knowledge.Backend {
	now := boottime.Now()
	var sound, shunned []*knowledge.Backend
	for _, backend := range view.ByService[service] {
		if backend.Leaving || excluded[backend.ID] {
			continue
		}
		if _, absent := view.Absent[backend.ID]; absent || a.loads.shunnedNow(backend.Incarnation, now) {
			shunned = append(shunned, backend)
			continue
		}
		sound = append(sound, backend)
	}
	if len(sound) > 0 {
		return sound
	}
	return shunned
}

func (a *admission) placePlain(usable []*knowledge.Backend) *placement {
	servers := make([]selection.Server, len(usable))
	for i, backend := range usable {
		load, latency := a.loads.get(backend.Incarnation)
		servers[i] = selection.Server{
			Running: load.Running + a.peers.Load(backend.Incarnation).Running,
			Slots:   backend.Slots,
			Near:    backend.Zone == a.zone,
			Latency: latency,
		}
	}
	a.mu.Lock()
	a.turn++
	turn := a.turn
	a.mu.Unlock()
	placed := &placement{backend: usable[selection.Plain(servers, turn)], load: BackendLoad{Running: 1}}
	a.loads.begin(placed.backend.Incarnation, placed.load)
	return placed
}

func (a *admission) placeModel(request *Request, view *knowledge.View, usable []*knowledge.Backend, again bool) (*placement, *Refusal) {
	now := boottime.Now()
	limits := view.Index.Configuration.Limits
	cost := request.Prompt.Cost()
	standing := a.standing(request, cost, limits.TokensPerSecond, now)
	if !again && rand.Float64() >= a.surplusOdds(request, view, standing) {
		refusal := a.refuse(request, ReasonShare)
		refusal.Inputs.Standing = standing
		return nil, refusal
	}
	engines := a.engines(view, request.Service, usable)
	demand := a.demand(request)
	demand.Budget = time.Duration(float64(demand.Budget) * urgency(view.Index.Rank(request.Service, request.Route, request.Account)))
	if standing > 1 {
		demand.Budget = time.Duration(float64(demand.Budget) * a.settings.get().Admission.SurplusShare)
	}
	choice, ok := selection.Model(engines, demand, a.limits(view, request.Service, limits))
	inputs := Inputs{
		Backend:  usable[choice.Index].ID,
		Standing: standing,
		Ahead:    choice.Ahead,
		Budget:   demand.Budget,
		Shared:   choice.Holder == choice.Index,
	}
	if !ok || !choice.Fits {
		refusal := a.refuse(request, ReasonBusy)
		refusal.Inputs = inputs
		return nil, refusal
	}
	placed := &placement{
		backend: usable[choice.Index],
		load: BackendLoad{
			Running: 1,
			Pending: choice.Tokens,
			Memory:  demand.Own + demand.Shared + demand.Output,
		},
		pending: engines[choice.Index].Pending + choice.Tokens,
		model:   true,
		inputs:  inputs,
	}
	if holder := a.holder(request, engines, choice); holder >= 0 && a.canFetch(view, request.Service) {
		placed.holder = usable[holder].Address
	}
	a.loads.begin(placed.backend.Incarnation, placed.load)
	if demand.Shared >= readingLeast {
		placed.part = demand.Affinity
		a.reading.begin(placed.part)
	}
	if request.Account != nil {
		a.mu.Lock()
		a.ledger.Got(request.Account.Name, cost, now)
		a.mu.Unlock()
	}
	return placed, nil
}

// surplusOdds returns the probability at which a request is taken, by its
// account's standing.
func (a *admission) surplusOdds(request *Request, view *knowledge.View, standing float64) float64 {
	most := a.settings.get().Admission.SurplusMost
	tightest := view.Index.Tightest(request.Service)
	return shares.SurplusOdds(standing, most, request.Route.TargetLatency, tightest)
}

const (
	// rankShare is the part of the budget that each less urgent priority has
	// of the next more urgent one's, so that a less urgent request is refused
	// first. Budgets of 0.8 and 1 serve as well (docs/SHARES.md).
	rankShare = 0.85
	// leastUrgency bounds the parts of many priorities, so that none starves.
	leastUrgency = 0.5
)

// urgency returns the part of the budget for requests of a rank.
func urgency(rank int) float64 {
	return max(math.Pow(rankShare, float64(rank)), leastUrgency)
}

// standing returns how much of its share the request's account will have got.
func (a *admission) standing(request *Request, cost, capacity float64, now boottime.Instant) float64 {
	if request.Account == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Standing(request.Account.Name, cost, capacity, now)
}

func (a *admission) demand(request *Request) selection.Demand {
	prompt := request.Prompt
	shared := float64(prompt.SharedTokens())
	output := prompt.MaxOutput
	if prompt.ExpectedOutput > 0 {
		output = min(output, prompt.ExpectedOutput)
	}
	return selection.Demand{
		Affinity: selection.Key(prompt.SharedPart()),
		Shared:   shared,
		Own:      max(float64(prompt.Tokens)-shared, 0),
		Output:   float64(output),
		Budget:   time.Duration(float64(request.Route.TargetLatency) * a.settings.get().Admission.BudgetShare),
	}
}

func (a *admission) engines(view *knowledge.View, service fleet.Service, usable []*knowledge.Backend) []selection.Engine {
	capacity := 0.0
	if settings := view.Index.Service(service); settings != nil {
		capacity = float64(settings.KVCapacity)
	}
	engines := make([]selection.Engine, len(usable))
	for i, backend := range usable {
		own, _ := a.loads.get(backend.Incarnation)
		load := own.Add(a.peers.Load(backend.Incarnation))
		engines[i] = selection.Engine{
			ID:             backend.ID,
			Running:        load.Running,
			Slots:          backend.Slots,
			Pending:        load.Pending,
			Memory:         load.Memory,
			MemoryCapacity: capacity,
		}
	}
	return engines
}

// assumedRate is the prompt tokens that an engine reads in a second before
// anything is known of it, when no capacity is stated either.
const assumedRate = 20_000

func (a *admission) limits(view *knowledge.View, service fleet.Service, limits knowledge.Limits) selection.Limits {
	assumed := float64(assumedRate)
	if count := len(view.ByService[service]); limits.TokensPerSecond > 0 && count > 0 {
		assumed = limits.TokensPerSecond / float64(count)
	}
	return selection.Limits{
		SecondPenalty: secondPenalty,
		Rate:          a.loads.rate(service, assumed),
		SlotShare:     a.settings.get().Admission.SlotShare,
		MemoryShare:   a.settings.get().Admission.MemoryShare,
	}
}

// secondPenalty is what the shared parts count at an engine that does not keep
// them, in parts of reading them. It is more than 1: the parts take room at both
// engines then, and a fetch finds nothing while the first one still reads them.
// Mean worth of four days at 0.15 / 0.8 / 1.5 / 3 / 8: Skammtur 0.729 / 0.732 /
// 0.736 / 0.736 / 0.722, Lahore 0.738 / 0.739 / 0.746 / 0.736 / 0.728.
const secondPenalty = 2

// canFetch tells whether engines of the service fetch prompt parts from each
// other.
func (a *admission) canFetch(view *knowledge.View, service fleet.Service) bool {
	settings := view.Index.Service(service)
	return settings != nil && settings.Fetches
}

// holder returns the index of the engine that probably keeps more of the
// prompt than the chosen one, or -1. The engine that the last shared part
// prefers keeps all shared parts; where that one is chosen, the engine that the
// first part prefers keeps that part before any other does.
func (a *admission) holder(request *Request, engines []selection.Engine, choice selection.Choice) int {
	if choice.Holder != choice.Index {
		return choice.Holder
	}
	parts := request.Prompt.Parts
	if len(parts) < 3 {
		return -1
	}
	first := selection.Preferred(engines, selection.Key(parts[0].ID))
	if first == choice.Index {
		return -1
	}
	return first
}

// began notes the first event of a placed request after the time since it was
// sent.
func (a *admission) began(placed *placement, service fleet.Service, took time.Duration) {
	if !placed.model || placed.load.Pending == 0 {
		return
	}
	a.endReading(placed)
	a.loads.first(placed.backend.Incarnation, service, placed.load.Pending, placed.pending, took)
	placed.load.Pending = 0
}

func (a *admission) endReading(placed *placement) {
	if placed.part != 0 {
		a.reading.end(placed.part)
		placed.part = 0
	}
}

// awaitPart waits a little while another request has the shared part of this
// one read.
func (a *admission) awaitPart(ctx context.Context, request *Request) {
	if request.Prompt.SharedTokens() < readingLeast {
		return
	}
	most := time.Duration(float64(request.Route.TargetLatency) * readingShare)
	a.reading.await(ctx, selection.Key(request.Prompt.SharedPart()), most)
}

// ended counts a placed request out. ran is false when it did not run.
func (a *admission) ended(request *Request, placed *placement, ran bool) {
	a.endReading(placed)
	a.loads.end(placed.backend.Incarnation, placed.load)
	if ran || !placed.model || request.Account == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Returned(request.Account.Name, request.Prompt.Cost(), boottime.Now())
}
