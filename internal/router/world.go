package router

import (
	"math/rand/v2"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/settings"
	"github.com/bluebellchute/bluebellchute/internal/tick"
)

// Limits bounds what a router holds of all accounts together.
type Limits struct {
	WaitingBytes int64 // 0 is no limit
}

// World holds what a router knows and decides. It is stepped by one goroutine.
type World struct {
	self     fleet.Node
	limits   Limits
	random   *rand.Rand
	now      time.Time
	outputs  []Output
	settings settings.View
	members  membership.View
	draining bool
	bytes    int64 // of waiting requests

	requests *tick.Table[fleet.RequestID, entry]
	agents   *tick.Table[fleet.Address, agentRow]
	services *tick.Table[fleet.Service, serviceRow]
	rates    *tick.Table[fleet.Account, rateBucket]
	verdicts *tick.Table[Fingerprint, VerdictHeard]

	flying       map[*entry]struct{}        // sent, running or unclear
	resuming     map[*entry]struct{}        // flying, to be resumed at a time
	asking       map[*entry]struct{}        // claiming
	offered      map[*agentRow]struct{}     // agents with something to be told
	touched      map[*accountQueue]struct{} // queues whose count changed in this tick
	offering     map[*accountQueue]struct{} // queues that agents may know of
	offerAt      time.Time                  // by when the agents in offered are looked at
	widenSweepAt time.Time
	sweepAt      time.Time
	lastOffer    uint64 // sequence number
	systems      []tick.System[*World]

	near, far []*agentRow // buffers of candidates
}

// NewWorld returns the world of a router that has just started: it knows no
// agent, no settings and no request. random decides between equal choices.
func NewWorld(self fleet.Node, limits Limits, random *rand.Rand) *World {
	world := &World{
		self:     self,
		limits:   limits,
		random:   random,
		requests: tick.NewTable[fleet.RequestID, entry](),
		agents:   tick.NewTable[fleet.Address, agentRow](),
		services: tick.NewTable[fleet.Service, serviceRow](),
		rates:    tick.NewTable[fleet.Account, rateBucket](),
		verdicts: tick.NewTable[Fingerprint, VerdictHeard](),
		flying:   make(map[*entry]struct{}),
		resuming: make(map[*entry]struct{}),
		asking:   make(map[*entry]struct{}),
		offered:  make(map[*agentRow]struct{}),
		touched:  make(map[*accountQueue]struct{}),
		offering: make(map[*accountQueue]struct{}),
	}
	world.systems = []tick.System[*World]{
		{Name: "claim", Run: (*World).runClaims},
		{Name: "resume", Run: (*World).runResumes},
		{Name: "expire", Run: (*World).runExpiry},
		{Name: "dispatch", Run: (*World).runDispatch},
		{Name: "offer", Run: (*World).runOffers},
	}
	return world
}

// Step implements tick.World.
func (w *World) Step(now time.Time, inputs []Input) ([]Output, time.Time) {
	w.now = now
	w.outputs = nil
	for _, input := range inputs {
		w.take(input)
	}
	for _, system := range w.systems {
		system.Run(w, now)
	}
	return w.outputs, w.nextWake()
}

// take hands an input to the rule that it concerns.
func (w *World) take(input Input) {
	switch event := input.(type) {
	case Arrived:
		w.admit(event.Request)
	case CallerGone:
		w.dropCaller(event.Request)
	case RunNotSent:
		w.takeNotSent(event)
	case RunRefused:
		w.takeRefused(event)
	case RunAccepted:
		w.takeAccepted(event)
	case AnswerStarted:
		w.takeProgress(event.Attempt)
	case AnswerEnded:
		w.takeEnded(event)
	case AnswerFailed:
		w.takeFailed(event)
	case AnswerBroken:
		w.takeBroken(event)
	case FenceReplied:
		w.takeFence(event)
	case ClaimReplied:
		w.takeClaim(event)
	case OfferReplied:
		w.takeOfferReply(event)
	case Granted:
		w.takeGrants(event)
	case FreeAsked:
		w.takeFree(event)
	case AgentHeard:
		w.takeHeard(event)
	case MembersChanged:
		w.takeMembers(event.View)
	case SettingsChanged:
		w.takeSettings(event.View)
	case VerdictHeard:
		w.takeVerdict(event)
	case DrainBegan:
		w.beginDrain()
	}
}

func (w *World) emit(output Output) { w.outputs = append(w.outputs, output) }

// nextWake is when a system has something to do without an input.
func (w *World) nextWake() time.Time {
	next := earlier(w.offerAt, w.nextWidening())
	if w.requests.Len() > 0 {
		next = earlier(next, w.now.Add(sweepInterval))
	}
	return next
}

// earlier returns the earlier of two times; a zero time never comes.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Waiting is the number of requests in the queues.
func (w *World) Waiting() int {
	total := 0
	w.services.Each(func(_ fleet.Service, service *serviceRow) { total += service.waiting })
	return total
}

// InFlight is the number of requests that are sent and not yet answered.
func (w *World) InFlight() int { return len(w.flying) }

// Requests is the number of requests that have not got their final answer.
func (w *World) Requests() int { return w.requests.Len() }
