package selection

import "time"

// Engine is a model engine as a candidate for one request.
type Engine struct {
	Running int     // requests at it, of all routers
	Slots   int     // requests that it runs at once, 0 if unknown
	Pending float64 // prompt tokens sent to it whose first event has not come
	Memory  float64 // tokens that its requests hold or will hold
	// MemoryCapacity is how many tokens it holds, 0 if unknown.
	MemoryCapacity float64
	// CachesShared tells that it is known to keep the shared parts.
	CachesShared bool
	// Rate is how many prompt tokens it reads in a second beside the tokens that it
	// generates, 0 for Limits.Rate.
	Rate float64
	// Slowdown is how long work takes there at the moment, in parts of the usual time;
	// 0 if unknown.
	Slowdown float64
}

// Demand is what one request asks of an engine.
type Demand struct {
	SharedTokens   float64       // tokens of the parts that other requests share
	OwnTokens      float64       // tokens of the parts that it does not share
	OutputTokens   float64       // tokens that it is expected to generate
	Budget         time.Duration // for the prompts ahead of this one
	CountOwnPrompt bool          // whether its own prompt counts in the budget
}

// Limits bound what is sent to an engine.
type Limits struct {
	// Rate is how many prompt tokens an engine reads in a second beside the
	// tokens that it generates, unless it has a rate of its own.
	Rate float64
	// SlotShare is the part of the slots that is used. More requests at once
	// slow the tokens of all.
	SlotShare float64
	// MemoryShare is the part of the memory that requests may fill. When it
	// runs out, an engine drops a running request and reads it again.
	MemoryShare float64
	// SecondPenalty is what the shared parts count at an engine that the key
	// does not prefer, in parts of reading them.
	//
	// It is more than 1: the parts take room at both engines then, and a fetch
	// finds nothing while the first one still reads them. Results hardly differ
	// between 1 and 2.
	SecondPenalty float64
	// Gap bounds how long an engine may read prompts while it streams to others; 0 for
	// no bound. See disrupts.
	Gap time.Duration
	// Fallbacks is how many engines may take the request although it disrupts streams
	// there.
	Fallbacks int
}

// Choice is an engine chosen for a request.
type Choice struct {
	Place         int           // of the engine among the candidates
	PromptTokens  float64       // prompt tokens that the engine is expected to read
	PendingTokens float64       // prompt tokens that wait there already
	Ahead         time.Duration // expected until the prompts ahead are read
	Wait          time.Duration // expected until the first event
	Fits          bool          // within all limits
	// SlotsUsed is the part of the engine's slots that are taken, 0 if unknown.
	SlotsUsed float64
	// Prefill is the expected time to read the prompts ahead and this one at the
	// engine's speed of the moment.
	Prefill time.Duration
	// Disrupts tells that streams in progress there would pause for too long.
	Disrupts bool
	// Moved tells that a home had room, but streams that would have been disrupted.
	Moved bool
}

// PreferredEngines is how many engines of a key's order share its prompt parts. More would
// each read them anew.
const PreferredEngines = 2

// ChooseEngine chooses an engine for the demand among so many candidates in the order
// of its key; engine returns one by its place. It is the one that the key
// prefers, or the next one when the first is so much busier that reading the
// shared parts there again is quicker. There must be a candidate.
//
// The further ones are looked at only when the request fits at neither, or would
// disrupt streams at both. The first that it fits at without disrupting any is
// taken: all routers fall back on the same engines for a key, so its parts are read
// at few of them. Where there is none, the first of the fallbacks is taken that it
// fits at.
func ChooseEngine(candidates int, engine func(place int) Engine, demand Demand, limits Limits) Choice {
	var best Choice
	for place := range min(candidates, PreferredEngines) {
		choice := evaluate(engine(place), demand, limits, place)
		if place == 0 || better(choice, best) {
			best = choice
		}
	}
	disruptsHome := best.Fits && best.Disrupts
	for place := PreferredEngines; place < candidates && !best.FitsUndisrupted(); place++ {
		choice := evaluate(engine(place), demand, limits, place)
		if choice.FitsUndisrupted() || (choice.Fits && !best.Fits && place < limits.Fallbacks) {
			best = choice
		}
	}
	best.Moved = disruptsHome && !best.Disrupts
	return best
}

// FitsUndisrupted tells whether there is no reason to look at further engines.
func (c Choice) FitsUndisrupted() bool { return c.Fits && !c.Disrupts }

// better prefers an engine within its limits, then one without streams to disrupt,
// then the shorter wait.
func better(a, b Choice) bool {
	if a.Fits != b.Fits {
		return a.Fits
	}
	if a.Disrupts != b.Disrupts {
		return b.Disrupts
	}
	return a.Wait < b.Wait
}

// evaluate tells what the demand finds at the engine that has the place in the
// order of its key.
func evaluate(engine Engine, demand Demand, limits Limits, place int) Choice {
	tokens := demand.OwnTokens
	if place > 0 && !engine.CachesShared {
		tokens += demand.SharedTokens * limits.SecondPenalty
	}
	rate := engine.rate(limits)
	ahead := ReadingTime(engine.Pending, rate)
	own := ReadingTime(tokens, rate)
	choice := Choice{Place: place, PromptTokens: tokens, PendingTokens: engine.Pending, Ahead: ahead, Wait: ahead + own}
	if engine.Slots > 0 {
		choice.SlotsUsed = float64(engine.Running) / float64(engine.Slots)
	}
	choice.Prefill = time.Duration(float64(choice.Wait) * max(engine.Slowdown, 1))
	choice.Disrupts = disrupts(engine, choice.Prefill, limits)
	// Elsewhere the request's own length does not count: with it, long prompts
	// would be refused whenever anything else waits.
	counted := ahead
	if demand.CountOwnPrompt {
		counted += own
	}
	choice.Fits = counted <= demand.Budget &&
		slotFree(engine, limits) &&
		memoryFree(engine, demand, limits)
	// An idle engine takes any request: refusing it would leave capacity
	// unused.
	if engine.Running == 0 {
		choice.Fits = true
	}
	return choice
}

// rate returns the prompt tokens that the engine reads in a second.
func (e Engine) rate(limits Limits) float64 {
	if e.Rate > 0 {
		return e.Rate
	}
	return limits.Rate
}

// ReadingTime returns how long an engine reads the prompt tokens that reads so many in a
// second, at least one.
func ReadingTime(tokens, rate float64) time.Duration {
	return time.Duration(tokens / max(rate, 1) * float64(time.Second))
}

// disrupts tells whether streams at the engine would pause for too long while it reads
// for so long. An engine reads a piece of a prompt in each step in which it makes a
// token of every stream, so that streams stall for as long as it has prompts to read.
func disrupts(engine Engine, prefill time.Duration, limits Limits) bool {
	return limits.Gap > 0 && engine.Running > 0 && prefill > limits.Gap
}

func slotFree(engine Engine, limits Limits) bool {
	return engine.Slots == 0 || float64(engine.Running+1) <= float64(engine.Slots)*limits.SlotShare
}

func memoryFree(engine Engine, demand Demand, limits Limits) bool {
	if engine.MemoryCapacity == 0 {
		return true
	}
	needed := demand.OwnTokens + demand.SharedTokens + demand.OutputTokens
	return engine.Memory+needed <= engine.MemoryCapacity*limits.MemoryShare
}
