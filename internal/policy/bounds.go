package policy

import (
	"math"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// When prompts arrive faster than engines read them, an engine reads its queue in order
// of arrival. Limiting what is admitted ahead of a request is then the only way to answer
// it in time.

// Bounds limit how loaded an engine may be to take a request.
type Bounds struct {
	Budget time.Duration // time to read the prompts ahead
	// CountOwnPrompt reports whether the request's own prompt counts in the budget.
	CountOwnPrompt bool
	SlotShare      float64 // fraction of the engine's slots that may be in use
	// PartialSlot reports whether that includes a slot of which the fraction covers a part.
	PartialSlot bool
	MemoryShare float64 // fraction of the engine's memory that may be in use
	// MaxEngines is the number of engines that may be considered.
	MaxEngines int
}

const (
	// minUrgency is the smallest fraction of the budget for any rank. It keeps the least
	// urgent requests from starving when many priorities are in use.
	minUrgency = 0.5
	// shortageBudgetCut is the fraction by which the budget of an account that has used
	// its whole share is cut while the engines fall short of the stated capacity. Without
	// the cut, a free place goes to whoever arrives first, which favours the account that
	// sends most requests.
	shortageBudgetCut = 0.5
)

// Bounds returns the bounds for a request of the tier.
func (s *Settings) Bounds(tier Tier, request ModelRequest) Bounds {
	switch tier {
	case TierIdle:
		return s.idleBounds(request)
	case TierContinued:
		return s.continuedBounds(request)
	}
	fraction := s.BudgetShare * s.urgencyShare(request.Rank) * request.Headroom
	if tier == TierSurplus {
		fraction *= s.SurplusShare
	}
	fraction *= 1 - shortageBudgetCut*request.Usage.Shortage*min(request.Usage.ShareUsed, 1)
	engines := selection.PreferredEngines
	if tier == TierOwed {
		engines = max(s.OwedEngines, selection.PreferredEngines)
	}
	return Bounds{Budget: scale(request.Target, fraction), SlotShare: s.SlotShare, MemoryShare: s.MemoryShare, MaxEngines: engines}
}

// continuedBounds returns the bounds for a stream that goes on. When engines crash, their streams
// all move to the others while these are full, so they have room beyond that of new requests. A
// caller waits longer for the next event than for the first one.
func (s *Settings) continuedBounds(request ModelRequest) Bounds {
	bounds := s.Bounds(TierOwed, ModelRequest{Target: request.Target, Headroom: request.Headroom})
	bounds.Budget = max(bounds.Budget, scale(request.Target, s.ContinueBudget*request.Headroom))
	bounds.SlotShare = max(bounds.SlotShare, s.ContinueSlots)
	bounds.PartialSlot = true // else an engine with few slots would have no more for them than for new requests
	return bounds
}

// idleBounds returns the bounds of the idle tier: it admits a request only where hardly
// anything waits and the request's own prompt is short. An owed request that arrives
// later has to wait for it, so its own prompt counts in the budget, which is a small
// fraction of the service's shortest target latency. This favours short requests and so
// serves the most callers with idle capacity.
//
// An account that has been granted little of the capacity gets wider bounds. With the
// narrow ones, an account with long prompts would not be admitted anywhere while engines
// are idle and other accounts use them with short prompts.
func (s *Settings) idleBounds(request ModelRequest) Bounds {
	shortestTarget := request.ShortestTarget
	if shortestTarget == 0 {
		shortestTarget = request.Target
	}
	widening := idleWidening(request.Usage.EvenShareUsed)
	return Bounds{
		Budget:         scale(shortestTarget, interpolate(s.IdleShare, s.IdleWide, widening)*request.Headroom),
		CountOwnPrompt: true,
		SlotShare:      interpolate(s.IdleSlots, s.IdleWideSlots, widening),
		MemoryShare:    interpolate(s.IdleMemory, s.IdleWideSlots, widening),

		MaxEngines: selection.PreferredEngines,
	}
}

// widestIdleBelow is the fraction of its even share of all served tokens below which an
// account gets the widest bounds of the idle tier.
const widestIdleBelow = 0.6

// idleWidening returns by how much the bounds of the idle tier are widened for an account
// that has used this fraction of its even share: 1 up to widestIdleBelow, falling to 0 at
// the whole share.
func idleWidening(evenShareUsed float64) float64 {
	return min(max((1-evenShareUsed)/(1-widestIdleBelow), 0), 1)
}

// interpolate returns the value at the fraction of the way from narrow to wide, or narrow
// if wide is no wider.
func interpolate(narrow, wide, fraction float64) float64 {
	return narrow + fraction*max(wide-narrow, 0)
}

// urgencyShare returns the fraction of the budget for requests of a rank. Less urgent
// requests get less and are refused first.
func (s *Settings) urgencyShare(rank int) float64 {
	return max(math.Pow(s.RankShare, float64(rank)), minUrgency)
}
