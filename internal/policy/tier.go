package policy

import (
	"math"
	"time"
)

// The load that this file answers: a few large accounts ask for several times
// their share all the time, small ones come and go, and the engines can do more
// than the shares add up to. Without tiers, either engines idle while callers
// are refused, or the large accounts' requests delay those of the small ones.

// Tier tells by what right a request takes capacity.
type Tier int

// The tiers, the first served first.
const (
	// TierOwed is what an account's share covers.
	TierOwed Tier = iota
	// TierSurplus is what goes beyond the share, up to Settings.SurplusMost
	// times. Requests arrive in bursts: a share kept to exactly would leave an
	// account short in each span of a few seconds in which its sums run ahead
	// of its callers.
	TierSurplus
	// TierIdle is everything else. It takes what would stand idle, and what it
	// takes does not count against the share. It is shared evenly by itself.
	//
	// Requests served in time with the tier and without it, under high load and
	// while engines fail, two runs each: 8,357 and 7,008, 6,586 and 5,926,
	// 11,664 and 10,116 at three deployments. Shared evenly it serves a tenth
	// less of these and leaves no account at less than half of another.
	TierIdle
)

// Names of the tiers in records and metrics.
var tierNames = [...]string{"owed", "surplus", "idle"}

// String returns the tier's name.
func (t Tier) String() string { return tierNames[t] }

// AccountUsage is what is known of a request's account when it arrives.
type AccountUsage struct {
	// ShareUsed is how much of its share the account will have got with the request:
	// up to 1 it stays within it.
	ShareUsed float64
	// EvenShareUsed is how much of its even part of all that is served it will have got,
	// idle capacity included.
	EvenShareUsed float64
	// Shortage is the part of the stated capacity that the engines lack, from 0
	// to 1.
	Shortage float64
}

// WithinShare tells whether the request is within its account's share.
func (s AccountUsage) WithinShare() bool { return s.ShareUsed <= 1 }

// ModelRequest are what a request's tier and bounds rest on.
type ModelRequest struct {
	Usage          AccountUsage
	Target         time.Duration // of the request's route
	ShortestTarget time.Duration // shortest target latency of the service
	Rank           int           // how many priorities in use are more urgent
	Headroom       float64       // see Headroom
	// DeclinedBefore tells that the request was admitted before and declined by an
	// engine.
	DeclinedBefore bool
}

// Tier returns the tier of a request. draw is a random number in [0, 1).
func (s *Settings) Tier(facts ModelRequest, draw float64) Tier {
	switch {
	case facts.Usage.WithinShare():
		return TierOwed
	case facts.DeclinedBefore, draw < s.surplusOdds(facts):
		return TierSurplus
	}
	return TierIdle
}

// idleShortage is the shortage from which nothing counts as idle.
const idleShortage = 0.5

// TierOpen tells whether the tier takes requests at all at present. While engines
// fall short of what accounts are owed, an engine with nothing to do is only
// between two owed requests. Whoever asks most would get most of these moments,
// uncounted: an account got 319,167 tokens in six seconds so, while another that
// had less than its share got 88,539 of 2,085,673 asked.
//
// What is idle is shared nearly evenly too, or it would all be the largest account's.
func (s *Settings) TierOpen(tier Tier, standing AccountUsage) bool {
	if tier != TierIdle {
		return true
	}
	return s.IdleSlots > 0 && standing.Shortage < idleShortage && standing.EvenShareUsed <= s.IdleMost
}

// surplusOdds returns the probability at which what goes beyond the share is
// taken in the surplus tier. It goes by the tightness of the target latency, the
// shortest of the service being tightest: requests that may take longer are
// those that callers can best do without.
//
// Engines that fall short of the stated capacity leave no surplus: it would be
// taken from accounts that have had less than their share.
func (s *Settings) surplusOdds(facts ModelRequest) float64 {
	most := 1 + (s.SurplusMost-1)*(1-facts.Usage.Shortage)
	switch {
	case facts.Usage.ShareUsed > most:
		return 0
	case facts.Target <= facts.ShortestTarget:
		return 1
	}
	return math.Pow(facts.ShortestTarget.Seconds()/facts.Target.Seconds(), s.SurplusExponent)
}
