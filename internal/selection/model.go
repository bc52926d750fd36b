package selection

import (
	"math"
	"time"
)

// Engine is a model engine as a candidate for one request.
type Engine struct {
	Running int     // requests at it from all routers
	Slots   int     // requests that it runs concurrently, 0 if unknown
	Pending float64 // prompt tokens sent to it that await their first event
	Memory  float64 // tokens that its requests occupy or will occupy
	// MemoryCapacity is the number of tokens that fit into its memory, 0 if unknown.
	MemoryCapacity float64
	// CachesShared reports whether it is known to cache the shared segments.
	CachesShared bool
	// Rate is how many prompt tokens it reads per second while it generates tokens, 0 for
	// Limits.Rate.
	Rate float64
	// Slowdown is the ratio of its current to its usual work time, 0 if unknown.
	Slowdown float64
}

// Demand is what a request needs of an engine.
type Demand struct {
	SharedTokens   float64       // tokens of segments that other requests share
	OwnTokens      float64       // tokens of segments that only this request has
	OutputTokens   float64       // tokens that it is expected to generate
	Budget         time.Duration // time to read the prompts ahead
	CountOwnPrompt bool          // whether its own prompt counts in the budget
}

// Limits bound what is sent to an engine.
type Limits struct {
	// Rate is how many prompt tokens an engine reads per second while it generates
	// tokens, unless the engine has a rate of its own.
	Rate float64
	// SlotShare is the fraction of the slots that is used. More concurrent requests slow
	// the tokens of all.
	SlotShare float64
	// PartialSlot also uses a slot of which the fraction covers a part.
	PartialSlot bool
	// MemoryShare is the fraction of the memory that requests may fill. An engine that
	// runs out of memory drops a running request and reads it again.
	MemoryShare float64
	// SecondPenalty is the cost of the shared segments at an engine that is not the first
	// choice and not known to cache them, as a multiple of reading them.
	//
	// It is more than 1 because the segments then take memory at both engines, and
	// fetching finds nothing while the first engine is still reading them. Results hardly
	// differ between 1 and 2.
	SecondPenalty float64
	// Gap is the longest time for which an engine may read prompts while it streams to
	// others, 0 for no bound. See disrupts.
	Gap time.Duration
	// Fallbacks is how many engines may take the request even if it disrupts streams
	// there.
	Fallbacks int
}

// Choice is an engine chosen for a request.
type Choice struct {
	Place         int           // position of the engine among the candidates
	PromptTokens  float64       // prompt tokens that the engine is expected to read
	PendingTokens float64       // prompt tokens already waiting there
	Ahead         time.Duration // expected time to read the prompts ahead
	Wait          time.Duration // expected time to the first event
	Fits          bool          // within all limits
	// SlotsUsed is the fraction of the engine's slots in use, 0 if unknown.
	SlotsUsed float64
	// Prefill is the expected time to read the prompts ahead and this one at the engine's
	// current speed.
	Prefill time.Duration
	// Disrupts reports whether streams in progress there would stall for too long.
	Disrupts bool
	// Moved reports whether a preferred engine had room but was avoided because of its
	// streams.
	Moved bool
}

// PreferredEngines is how many engines in a segment's ranking usually read it. Each
// further engine would have to read it again.
const PreferredEngines = 2

// ChooseEngine chooses an engine for the demand among the candidates, of which there must
// be at least one. engine returns the candidate at a position in the segment's
// ranking. It chooses the first one, or the second if the first is so much busier that
// reading the shared segments again at the second is faster.
//
// Further candidates are considered only if the request fits at neither, or disrupts
// streams at both. The first one is chosen at which it fits and disrupts no stream: all
// routers fall back to the same engines for a segment, so few engines read it. If
// there is none, the first fallback is chosen at which the request fits.
func ChooseEngine(candidates int, engine func(place int) Engine, demand Demand, limits Limits) Choice {
	var best Choice
	for place := range min(candidates, PreferredEngines) {
		choice := evaluate(engine(place), demand, limits, place)
		if place == 0 || preferable(choice, best) {
			best = choice
		}
	}
	preferredDisrupted := best.Fits && best.Disrupts
	for place := PreferredEngines; place < candidates && !best.FitsUndisrupted(); place++ {
		choice := evaluate(engine(place), demand, limits, place)
		if choice.FitsUndisrupted() || (choice.Fits && !best.Fits && place < limits.Fallbacks) {
			best = choice
		}
	}
	best.Moved = preferredDisrupted && !best.Disrupts
	return best
}

// FitsUndisrupted reports whether no further engine needs to be considered.
func (c Choice) FitsUndisrupted() bool { return c.Fits && !c.Disrupts }

// preferable prefers an engine within its limits, then one without disrupted streams,
// then the shorter wait.
func preferable(a, b Choice) bool {
	if a.Fits != b.Fits {
		return a.Fits
	}
	if a.Disrupts != b.Disrupts {
		return b.Disrupts
	}
	return a.Wait < b.Wait
}

// evaluate returns the choice of the engine at this position in the segment's ranking.
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
	// By default, a request's own length does not count. Otherwise long prompts would be
	// refused whenever anything else waits.
	counted := ahead
	if demand.CountOwnPrompt {
		counted += own
	}
	choice.Fits = counted <= demand.Budget &&
		hasFreeSlot(engine, limits) &&
		hasFreeMemory(engine, demand, limits)
	// An idle engine takes any request, since refusing it would leave capacity unused.
	if engine.Running == 0 {
		choice.Fits = true
	}
	return choice
}

// rate returns how many prompt tokens the engine reads per second.
func (e Engine) rate(limits Limits) float64 {
	if e.Rate > 0 {
		return e.Rate
	}
	return limits.Rate
}

// ReadingTime returns how long an engine takes to read the prompt tokens at the rate in
// tokens per second, which counts as at least 1.
func ReadingTime(tokens, rate float64) time.Duration {
	return time.Duration(tokens / max(rate, 1) * float64(time.Second))
}

// disrupts reports whether streams at the engine would stall for too long during the
// reading time. An engine reads a piece of a prompt in each step in which it generates a
// token of every stream, so streams stall for as long as it has prompts to read.
func disrupts(engine Engine, prefill time.Duration, limits Limits) bool {
	return limits.Gap > 0 && engine.Running > 0 && prefill > limits.Gap
}

func hasFreeSlot(engine Engine, limits Limits) bool {
	usable := float64(engine.Slots) * limits.SlotShare
	if limits.PartialSlot {
		usable = math.Ceil(usable)
	}
	return engine.Slots == 0 || float64(engine.Running+1) <= usable
}

func hasFreeMemory(engine Engine, demand Demand, limits Limits) bool {
	if engine.MemoryCapacity == 0 {
		return true
	}
	needed := demand.OwnTokens + demand.SharedTokens + demand.OutputTokens
	return engine.Memory+needed <= engine.MemoryCapacity*limits.MemoryShare
}
