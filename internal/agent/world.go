package agent

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/fairshare"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
	"github.com/bluebellchute/bluebellchute/internal/tick"
)

// Identity is who this agent is.
type Identity struct {
	Control     fleet.Address
	Data        fleet.Address
	Service     fleet.Service
	Zone        fleet.Zone
	VM          string
	Incarnation uint64 // start of the process, Unix nanoseconds
}

// World is the state of the agent and the rules that change it. It implements
// tick.World.
type World struct {
	self   Identity
	limits Limits

	policy  settings.ServicePolicy
	served  bool // the settings in force have the service
	view    settings.View
	members membership.View

	requests *tick.Table[fleet.RequestID, request]
	ended    *endedTable
	routers  *tick.Table[fleet.Address, router]
	accounts *tick.Table[fleet.Account, account]
	grants   *tick.Table[uint64, grant]
	clocks   *fairshare.Clocks

	offers      int        // offers of all routers
	queue       []*request // admitted, in the order of admission
	running     int        // requests at the backend server
	suspectsRun int        // suspects at the backend server
	heldBytes   int64      // of finished answers
	held        []*request // finished answers, oldest first
	heldFull    bool       // as last noted in the log

	backendUp     bool
	reportedSlots int
	drained       bool // by an operator
	stopping      bool // the process was asked to end
	listLeaving   bool // the platform's list says so

	nextGrant   uint64
	turnaround  average // from a grant to the dispatch on it
	runTime     average // of one run
	asking      asking
	crash       crash
	guard       *guard
	probeAfter  time.Time // no router is asked for a sign of life before
	home        *fairshare.Home
	tally       tally
	shares      fairshare.Config // of the policy, for the number of agents
	names       *fairshare.Names
	nextSweep   time.Time
	pendingSeal []Seal
	lastFree    SetFreeSlots

	candidates []fleet.Account // scratch space of pickAccount

	out     []Command
	systems []tick.System[*World]
}

// NewWorld returns the world of an agent that starts at now. The settings and
// members come with later inputs; until then nothing is admitted.
func NewWorld(self Identity, limits Limits, now time.Time) *World {
	w := &World{
		self:      self,
		limits:    limits,
		requests:  tick.NewTable[fleet.RequestID, request](),
		ended:     newEndedTable(limits.MaxEnded, limits.EndedLife, now),
		routers:   tick.NewTable[fleet.Address, router](),
		accounts:  tick.NewTable[fleet.Account, account](),
		grants:    tick.NewTable[uint64, grant](),
		nextGrant: self.Incarnation,
		guard:     newGuard(limits.MaxKeys, now),
		lastFree:  SetFreeSlots{FreeSlots: math.MaxUint32},
		asking:    asking{interval: MinAskInterval},
	}
	w.names = fairshare.NewNames(nil)
	w.clocks = fairshare.NewClocks(w.shares)
	w.clocks.SetSeed(self.Incarnation ^ xxhash.Sum64String(string(self.Control)))
	w.home = fairshare.NewHome(w.shares, w.weight)
	w.systems = []tick.System[*World]{
		{Name: "expire", Run: (*World).expire},
		{Name: "admit", Run: (*World).startQueued},
		{Name: "grant", Run: (*World).grantSlots},
		{Name: "ask", Run: (*World).askRouters},
		{Name: "recall", Run: (*World).recallOffers},
		{Name: "tally", Run: (*World).reportCharges},
		{Name: "publish", Run: (*World).publish},
		{Name: "drain", Run: (*World).reportIdle},
	}
	return w
}

// Step implements tick.World.
func (w *World) Step(now time.Time, inputs []Input) ([]Command, time.Time) {
	w.out = nil
	for _, input := range inputs {
		w.take(now, input)
	}
	for _, system := range w.systems {
		system.Run(w, now)
	}
	return w.out, w.nextWake(now)
}

// take changes the tables by one input.
func (w *World) take(now time.Time, input Input) {
	switch in := input.(type) {
	case Dispatch:
		w.takeDispatch(now, in)
	case Resume:
		w.takeResume(now, in)
	case Fence:
		w.takeFence(now, in)
	case Cancel:
		w.takeCancel(now, in)
	case Acknowledge:
		w.takeAcknowledge(now, in)
	case Delivered:
		w.takeDelivered(now, in)
	case Offered:
		w.takeOffered(now, in)
	case GrantAnswered:
		w.takeGrantAnswered(now, in)
	case FreeAnswered:
		w.takeFreeAnswered(now, in)
	case RunProgress:
		w.takeProgress(in)
	case RunEnded:
		w.takeRunEnded(now, in)
	case Reported:
		w.takeReported(now, in)
	case ReportAnswered:
		w.takeReportAnswered(in)
	case Claim:
		w.takeClaim(now, in)
	case KeyConfirmed:
		w.takeKeyConfirmed(now, in)
	case Drain:
		w.takeDrain(in)
	case Stopping:
		w.setLeaving(&w.stopping, true)
	case Verdicts:
		w.takeVerdicts(in)
	case Load:
		w.takeLoad(in)
	case Health:
		w.takeHealth(now, in)
	case Settings:
		w.takeSettings(in)
	case Members:
		w.takeMembers(in)
	}
}

// emit adds a command to those of this step.
func (w *World) emit(command Command) { w.out = append(w.out, command) }

// reply answers a waiting call.
func (w *World) reply(ticket Ticket, answer Answer) {
	w.emit(Reply{Ticket: ticket, Answer: answer})
}

// slots is the capacity of the backend server: what the settings say, else
// what the server reported last.
func (w *World) slots() int {
	if !w.served {
		return 0
	}
	if w.policy.Slots > 0 {
		return w.policy.Slots
	}
	return w.reportedSlots
}

// committed is the capacity that is in use or promised. Suspects that wait
// for another suspect to end take no slot meanwhile.
func (w *World) committed() int {
	return w.running + len(w.queue) - w.heldSuspects() + w.grants.Len()
}

// free is the number of slots that nothing uses and nobody was promised.
func (w *World) free() int {
	if !w.takesWork() {
		return 0
	}
	return max(0, w.slots()-w.committed())
}

// leaving tells that the agent takes no new work for good or until undone.
func (w *World) leaving() bool { return w.drained || w.stopping || w.listLeaving }

// takesWork tells whether a new request could run at all.
func (w *World) takesWork() bool { return !w.leaving() && w.backendUp }

// publish emits the ends of answers and the number of free slots, both as they
// stand after all decisions of this step.
func (w *World) publish(time.Time) {
	state := SetFreeSlots{FreeSlots: uint32(w.free()), Leaving: w.leaving()}
	if state != w.lastFree {
		w.lastFree = state
		w.emit(state)
	}
	for _, seal := range w.pendingSeal {
		seal.FreeSlots = state.FreeSlots
		w.emit(seal)
	}
	w.pendingSeal = w.pendingSeal[:0]
}

// nextWake is the time of the next step if no input comes before.
func (w *World) nextWake(now time.Time) time.Time {
	next := w.nextSweep
	sooner := func(at time.Time) {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	w.grants.Each(func(_ uint64, g *grant) { sooner(g.lapsesAt) })
	for _, r := range w.queue {
		sooner(r.deadline)
	}
	sooner(w.asking.next)
	w.routers.Each(func(_ fleet.Address, r *router) { sooner(r.recallAt) })
	sooner(w.tally.next)
	return next
}

// refuse tells a dispatch that it did not and will not run here. A dispatch
// without a grant is remembered, so that a copy of it does not run either; one
// on a grant has used up the number.
func (w *World) refuse(now time.Time, in Dispatch, reason rpc.RefusalReason, after time.Duration) {
	if in.Grant == 0 && reason != rpc.RefusalReason_REFUSAL_REASON_DUPLICATE {
		w.ended.refuse(now, in.ID, in.Attempt)
	}
	w.reply(in.Ticket, Refused{Reason: reason, RetryAfter: after})
}
