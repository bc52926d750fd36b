package policy

import "time"

// Settings bound what is sent to model engines.
type Settings struct {
	// BudgetShare is the part of a route's target latency that may pass
	// before an engine has read the prompts ahead of a request.
	BudgetShare float64
	SlotShare   float64 // part of an engine's slots that is used
	MemoryShare float64 // part of an engine's memory that requests may fill
	// RankShare is the part of the budget that each less urgent priority in use
	// has of the next more urgent one's.
	RankShare float64

	// OwedEngines is how many engines are looked at for a request that its
	// account is owed, before it is refused. Engines with few slots are often
	// full for a moment; with the two homes alone, accounts that asked for less
	// than their share missed a good part of it.
	OwedEngines int

	// SurplusShare is the part of the budget for requests of accounts that
	// have had their share.
	SurplusShare float64
	// SurplusMost is how many times its share an account may get in the
	// surplus tier at most.
	SurplusMost float64
	// SurplusExponent tells how much a longer target latency lowers the odds
	// in the surplus tier; 0 takes all requests alike.
	SurplusExponent float64

	// IdleShare is the part of the service's shortest target latency that the
	// prompts ahead of a request of the idle tier may take together with its
	// own.
	IdleShare float64
	// IdleSlots and IdleMemory are the parts of an engine's slots and memory
	// up to which the idle tier is let in; 0 slots turn it off.
	IdleSlots  float64
	IdleMemory float64
	// IdleWide is IdleShare, and IdleWideSlots IdleSlots and IdleMemory, for requests
	// of accounts that have had little of what is served; see idleBounds.
	IdleWide      float64
	IdleWideSlots float64
	// IdleMost is how many times its even part of all that is served an account may
	// get by the idle tier. Below 2, none that asks as much gets less than half of it.
	IdleMost float64

	// LeastHeadroom bounds how far late answers lower the budgets; 1 turns
	// that off.
	LeastHeadroom float64
	// ObservedCapacity tells to divide what the engines take when that is less
	// than the stated capacity.
	ObservedCapacity bool
	// Fetch tells to name an engine from which kept prompt parts are fetched.
	Fetch bool
	// SecondPenalty is what the shared parts count at an engine that does not
	// keep them, in parts of reading them.
	SecondPenalty float64

	// GapShare is the part of a service's shortest target gap for which an engine may
	// read prompts beside streams in progress; 0 for no bound.
	GapShare float64
	// RetryShare is the part of a route's target latency after which refused
	// callers are told to come back. Their time counts from their first try,
	// so what is left must suffice for an answer.
	RetryShare float64
	// RetrySpread is the part of that time by which it is shortened and lengthened; see
	// RetryInTurn. 0 tells all the same.
	RetrySpread float64
}

// share returns a part of the time.
func share(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * part)
}

// Defaults returns the settings that serve, as docs/POLICY.md shows.
func Defaults() Settings {
	return Settings{
		BudgetShare: 1, SlotShare: 0.8, MemoryShare: 0.9, RankShare: 0.85, OwedEngines: 8,
		SurplusShare: 0.6, SurplusMost: 2, SurplusExponent: 3,
		IdleShare: 0.08, IdleSlots: 0.25, IdleMemory: 0.25,
		IdleWide: 0.2, IdleWideSlots: 0.6, IdleMost: 1.5,
		LeastHeadroom: 0.2, ObservedCapacity: true,
		Fetch: true, SecondPenalty: 2,
		RetryShare: 0.35,
	}
}
