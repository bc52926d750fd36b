package policy

import (
	"math"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// The load that this file answers: more prompts arrive than engines read. What
// waits at an engine is read in the order of arrival, so the only way to keep a
// request in time is not to let too much in ahead of it.

// Bounds are what a request finds acceptable at an engine.
type Bounds struct {
	Budget time.Duration // for the prompts ahead
	// CountOwnPrompt tells that the request's own prompt counts in the budget.
	CountOwnPrompt bool
	SlotShare      float64 // part of the engine's slots that may be taken
	MemoryShare    float64 // part of the engine's memory that may be filled
	// MaxEngines is how many engines may be looked at for room.
	MaxEngines int
}

const (
	// leastUrgency bounds the parts of many priorities, so that none starves.
	leastUrgency = 0.5
	// shortPreference is how much less may be ahead of a request whose account
	// has had its whole share than of one whose account has had nothing, while
	// the engines fall short of the stated capacity. Whoever arrives just when
	// an engine has room would else get it, and that is who asks most often.
	shortPreference = 0.5
)

// Bounds returns the bounds for a request of the tier.
func (s *Settings) Bounds(tier Tier, facts ModelRequest) Bounds {
	if tier == TierIdle {
		return s.idleBounds(facts)
	}
	part := s.BudgetShare * s.urgency(facts.Rank) * facts.Headroom
	if tier == TierSurplus {
		part *= s.SurplusShare
	}
	part *= 1 - shortPreference*facts.Usage.Shortage*min(facts.Usage.ShareUsed, 1)
	engines := selection.PreferredEngines
	if tier == TierOwed {
		engines = max(s.OwedEngines, selection.PreferredEngines)
	}
	return Bounds{Budget: share(facts.Target, part), SlotShare: s.SlotShare, MemoryShare: s.MemoryShare, MaxEngines: engines}
}

// idleBounds lets a request in where hardly anything waits and its own prompt
// is short. Whatever comes after it and is owed waits for it: its own prompt
// counts, against the shortest target latency there is, so that the wait is a
// small part of anyone's target. Short requests go first by that, which serves
// the most callers with what is idle.
//
// An account that has had little of what is served finds wider bounds: its prompts may
// be long, and with the narrow ones they would fit nowhere while engines have nothing to
// do and other accounts get their part in short prompts.
func (s *Settings) idleBounds(facts ModelRequest) Bounds {
	tightest := facts.ShortestTarget
	if tightest == 0 {
		tightest = facts.Target
	}
	part := need(facts.Usage.EvenShareUsed)
	return Bounds{
		Budget:         share(tightest, between(s.IdleShare, s.IdleWide, part)*facts.Headroom),
		CountOwnPrompt: true,
		SlotShare:      between(s.IdleSlots, s.IdleWideSlots, part),
		MemoryShare:    between(s.IdleMemory, s.IdleWideSlots, part),

		MaxEngines: selection.PreferredEngines,
	}
}

// needyBelow is the part of its even part of all that is served below which an account
// finds the widest bounds of the idle tier.
const needyBelow = 0.6

// need returns how much of the widening of the idle tier an account finds that has got
// so much of its even part: 1 up to needyBelow, 0 from the whole part on.
func need(whole float64) float64 {
	return min(max((1-whole)/(1-needyBelow), 0), 1)
}

// between returns the value at the part of the way from narrow to wide. Where wide is no
// wider, it is narrow.
func between(narrow, wide, part float64) float64 {
	return narrow + part*max(wide-narrow, 0)
}

// urgency returns the part of the budget for requests of a rank: a less urgent
// request is refused first.
func (s *Settings) urgency(rank int) float64 {
	return max(math.Pow(s.RankShare, float64(rank)), leastUrgency)
}
