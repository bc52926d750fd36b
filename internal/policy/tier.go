package policy

import (
	"math"
	"time"
)

// A few large accounts may constantly request several times their share while small
// accounts come and go, and the engines can do more than the shares add up to. Without
// tiers, either engines idle while callers are refused, or the requests of large accounts
// delay those of small ones.

// Tier is the entitlement by which a request uses capacity.
type Tier int

// The tiers, those of new requests in the order in which they are served.
const (
	// TierOwed is for requests within the account's share.
	TierOwed Tier = iota
	// TierSurplus is for requests beyond the share, up to Settings.SurplusMost times the
	// share. Requests arrive in bursts: with a strict limit, an account would get less
	// than its share whenever a burst has just raised its sums.
	TierSurplus
	// TierIdle is for all other requests. It uses capacity that would otherwise be idle,
	// which does not count against the share and is divided evenly by itself.
	//
	// Under high load and engine failures, the tier raises the number of requests served
	// in time by 11 to 19 percent. Dividing it evenly costs a tenth of these requests,
	// but leaves no account with less than half of what another gets.
	TierIdle
	// TierContinued is for streams that go on. Their accounts were charged when they began, so
	// that an account at its limit could never continue one; and their callers, who have a part
	// already, would lose it. It takes precedence over the other tiers, up to
	// Settings.ContinueMost times the share.
	TierContinued
)

// tierNames are the names of the tiers in logs and metrics.
var tierNames = [...]string{"owed", "surplus", "idle", "continued"}

// String returns the tier's name.
func (t Tier) String() string { return tierNames[t] }

// AccountUsage is what is known of an account's usage when a request arrives.
type AccountUsage struct {
	// ShareUsed is the fraction of its share that the account will have used with the
	// request: up to 1, it stays within its share.
	ShareUsed float64
	// EvenShareUsed is the fraction of its even share of all served tokens that the
	// account will have used, including idle capacity.
	EvenShareUsed float64
	// Shortage is how far the engines fall short of the stated capacity, from 0 to 1.
	Shortage float64
}

// WithinShare reports whether the request is within its account's share.
func (u AccountUsage) WithinShare() bool { return u.ShareUsed <= 1 }

// ModelRequest is a request to a model, with what determines its tier and bounds.
type ModelRequest struct {
	Usage          AccountUsage
	Target         time.Duration // target latency of its route
	ShortestTarget time.Duration // shortest target latency of the service
	Rank           int           // number of more urgent priorities in use
	Headroom       float64       // headroom of the service, see Headroom
	// DeclinedBefore reports whether the request was admitted before and then declined by
	// an engine.
	DeclinedBefore bool
	// Continues reports whether the request goes on with a stream that began at an engine.
	Continues bool
}

// Tier returns the tier of a request. draw is a random number in [0, 1).
func (s *Settings) Tier(request ModelRequest, draw float64) Tier {
	switch {
	case request.Continues && request.Usage.ShareUsed <= s.ContinueMost:
		return TierContinued
	case request.Usage.WithinShare():
		return TierOwed
	case request.DeclinedBefore, draw < s.surplusProbability(request):
		return TierSurplus
	}
	return TierIdle
}

// maxIdleShortage is the shortage from which no capacity counts as idle.
const maxIdleShortage = 0.5

// TierOpen reports whether the tier takes requests at present. While engines fall short
// of what accounts are owed, an engine without requests is only between two owed ones.
// Without the check, the account that sends most requests would take most of these gaps
// without being charged: one got 319,167 tokens in six seconds, while another below its
// share got 88,539 of 2,085,673 requested.
//
// Idle capacity is also divided nearly evenly, or the largest account would get all of
// it.
func (s *Settings) TierOpen(tier Tier, usage AccountUsage) bool {
	if tier != TierIdle {
		return true
	}
	return s.IdleSlots > 0 && usage.Shortage < maxIdleShortage && usage.EvenShareUsed <= s.IdleMost
}

// surplusProbability returns the probability with which a request beyond the share is
// admitted to the surplus tier. It falls with the ratio of the request's target latency
// to the shortest one of the service, since callers can best do without requests that may
// take longer.
//
// While engines fall short of the stated capacity, there is no surplus: it would be taken
// from accounts that have used less than their share.
func (s *Settings) surplusProbability(request ModelRequest) float64 {
	maxShareUsed := 1 + (s.SurplusMost-1)*(1-request.Usage.Shortage)
	switch {
	case request.Usage.ShareUsed > maxShareUsed:
		return 0
	case request.Target <= request.ShortestTarget:
		return 1
	}
	return math.Pow(request.ShortestTarget.Seconds()/request.Target.Seconds(), s.SurplusExponent)
}
