package policy

import "time"

// Settings bound what is sent to model engines.
type Settings struct {
	// BudgetShare is the fraction of a route's target latency in which an engine must
	// have read the prompts ahead of a request.
	BudgetShare float64
	SlotShare   float64 // fraction of an engine's slots that is used
	MemoryShare float64 // fraction of an engine's memory that requests may fill
	// RankShare is the ratio of the budget of each priority in use to that of the next
	// more urgent one.
	RankShare float64

	// OwedEngines is how many engines are considered before an owed request is refused.
	// Engines with few slots are often full for a short time; with the two preferred
	// engines alone, accounts that requested less than their share missed a good part of
	// it.
	OwedEngines int

	// SurplusShare is the fraction of the budget for requests of accounts that have used
	// their share.
	SurplusShare float64
	// SurplusMost is the largest multiple of its share that an account may get in the
	// surplus tier.
	SurplusMost float64
	// SurplusExponent sets how much a longer target latency lowers the probability of the
	// surplus tier; 0 treats all requests alike.
	SurplusExponent float64

	// ContinueMost is the multiple of its share up to which an account's streams go on before
	// other requests; 0 treats them like new ones.
	ContinueMost float64
	// ContinueBudget is the multiple of a route's target latency in which an engine must have
	// read the prompts ahead of a stream that goes on.
	ContinueBudget float64
	// ContinueSlots is the fraction of an engine's slots that is used for streams that go on.
	ContinueSlots float64

	// IdleShare is the fraction of the service's shortest target latency in which an
	// engine must have read the prompts ahead of a request of the idle tier and the
	// request's own.
	IdleShare float64
	// IdleSlots and IdleMemory are the fractions of an engine's slots and memory up to
	// which the idle tier is admitted; 0 slots disable it.
	IdleSlots  float64
	IdleMemory float64
	// IdleWide replaces IdleShare, and IdleWideSlots replaces IdleSlots and IdleMemory,
	// for requests of accounts that have been granted little of the capacity; see
	// idleBounds.
	IdleWide      float64
	IdleWideSlots float64
	// IdleMost is the largest multiple of its even share of all served tokens that an
	// account may reach through the idle tier. Below 2, no account gets less than half of
	// what another gets that requests as much.
	IdleMost float64

	// LeastHeadroom bounds how far late answers lower the budgets; 1 disables that.
	LeastHeadroom float64
	// ObservedCapacity enables dividing the observed capacity of the engines when it is
	// less than the stated one.
	ObservedCapacity bool
	// Fetch enables naming an engine from which cached prompt segments are fetched.
	Fetch bool
	// SecondPenalty is the cost of the shared segments at an engine that does not cache
	// them, as a multiple of reading them.
	SecondPenalty float64

	// GapShare is the fraction of a service's shortest target gap for which an engine may
	// read prompts beside streams in progress; 0 for no bound.
	GapShare float64
	// RetryShare is the fraction of a route's target latency after which refused callers
	// are asked to retry. Their latency counts from the first attempt, so the remaining
	// time must suffice for an answer.
	RetryShare float64
	// RetrySpread is the fraction of that delay by which it is shortened or lengthened;
	// see RetryAfterByUsage. 0 gives all callers the same delay.
	RetrySpread float64
}

// scale returns the duration multiplied by the factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// Defaults returns the default settings, as described in docs/POLICY.md.
func Defaults() Settings {
	return Settings{
		BudgetShare: 1, SlotShare: 0.8, MemoryShare: 0.9, RankShare: 0.85, OwedEngines: 8,
		SurplusShare: 0.6, SurplusMost: 2, SurplusExponent: 3,
		ContinueMost: 4, ContinueBudget: 2, ContinueSlots: 0.9,
		IdleShare: 0.08, IdleSlots: 0.25, IdleMemory: 0.25,
		IdleWide: 0.2, IdleWideSlots: 0.6, IdleMost: 1.5,
		LeastHeadroom: 0.2, ObservedCapacity: true,
		Fetch: true, SecondPenalty: 2,
		RetryShare: 0.35,
	}
}
