// Package emulator models a model engine: continuous batching, chunked prefill
// between the generated tokens, and a limited memory that caches prompt segments.
// It has no clock. The caller drives each step, so that the emulator serves both
// a stand-in in real time and a simulated fleet.
package emulator

import (
	"time"
)

// Config describes an engine.
type Config struct {
	Slots              int           // requests that run at once
	Step               time.Duration // time of a step without prefill
	StepPerRequest     time.Duration // added for each running request
	PrefillTokensPerMS float64       // prefill rate, in prompt tokens
	PrefillChunk       int           // maximum number of prompt tokens prefilled in a step
	MemoryTokens       int           // shared by running requests and the segment cache
	TokensPerEvent     int           // generated tokens per event
}

// DefaultConfig returns the configuration of an engine of about the size that users run.
func DefaultConfig() Config {
	return Config{
		Slots:              64,
		Step:               3 * time.Millisecond,
		StepPerRequest:     100 * time.Microsecond,
		PrefillTokensPerMS: 60,
		PrefillChunk:       1024,
		MemoryTokens:       580_000,
		TokensPerEvent:     6,
	}
}

// Segment is a part of a prompt that requests may share.
type Segment struct {
	ID     string
	Tokens int
}

// Request is a request for an engine.
type Request struct {
	Segments     []Segment
	OutputTokens int // tokens to generate
	// OnEvent is called for each event with its number, from 1, and whether it
	// is the last one. It must not call the engine.
	OnEvent func(number int, last bool)

	promptRemaining int // prompt tokens not prefilled yet
	heldTokens      int // memory in use, without the segment cache
	generated       int
	events          int
	cancelled       bool
}

// totalTokens returns the memory, in tokens, that the request needs.
func (r *Request) totalTokens() int {
	total := r.OutputTokens
	for _, segment := range r.Segments {
		total += segment.Tokens
	}
	return total
}

// Cancel removes the request at the engine's next step.
func (r *Request) Cancel() { r.cancelled = true }

// Engine is a model engine. It is not safe for concurrent use.
type Engine struct {
	config     Config
	waiting    []*Request // in order of arrival
	running    []*Request
	usedTokens int // tokens of the running requests
	cache      *segmentCache

	// PrefilledTokens and CachedTokens count the prompt tokens so far that were
	// prefilled and that were found in the cache.
	PrefilledTokens, CachedTokens int
}

// NewEngine returns an idle engine.
func NewEngine(config Config) *Engine {
	return &Engine{config: config, cache: newSegmentCache()}
}

// Add queues a request.
func (e *Engine) Add(request *Request) { e.waiting = append(e.waiting, request) }

// Load returns the numbers of running and waiting requests.
func (e *Engine) Load() (running, waiting int) { return len(e.running), len(e.waiting) }

// Step runs one step and returns its duration, or 0 if there is nothing to do.
// It calls OnEvent immediately, although the events happen at the step's end.
func (e *Engine) Step() time.Duration {
	e.dropCancelled()
	e.admit()
	if len(e.running) == 0 {
		return 0
	}
	prefilled := e.prefill()
	took := e.config.Step + time.Duration(len(e.running))*e.config.StepPerRequest
	took += time.Duration(float64(prefilled) / e.config.PrefillTokensPerMS * float64(time.Millisecond))
	e.generate()
	return took
}

// admit starts waiting requests in order, as far as slots and memory allow.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots {
		next := e.waiting[0]
		if len(e.running) > 0 && e.usedTokens+next.totalTokens() > e.config.MemoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		next.heldTokens = next.totalTokens()
		e.usedTokens += next.heldTokens
		found := e.cache.lookup(next.Segments)
		e.CachedTokens += found
		for _, segment := range next.Segments {
			next.promptRemaining += segment.Tokens
		}
		next.promptRemaining -= found
		e.running = append(e.running, next)
		e.cache.evictTo(e.config.MemoryTokens - e.usedTokens)
	}
}

// prefill processes a chunk of the oldest unfinished prompt and returns the
// number of tokens.
func (e *Engine) prefill() int {
	for _, request := range e.running {
		if request.promptRemaining == 0 {
			continue
		}
		chunk := min(request.promptRemaining, e.config.PrefillChunk)
		request.promptRemaining -= chunk
		e.PrefilledTokens += chunk
		if request.promptRemaining == 0 {
			e.cachePrompt(request)
		}
		return chunk
	}
	return 0
}

// cachePrompt moves the memory of a completed prompt from the request to the
// segment cache. This simplifies the model: its segments may be evicted while the
// request runs, but a real engine retains them until the request ends.
func (e *Engine) cachePrompt(request *Request) {
	e.usedTokens -= request.heldTokens - request.OutputTokens
	request.heldTokens = request.OutputTokens
	e.cache.add(request.Segments)
	e.cache.evictTo(e.config.MemoryTokens - e.usedTokens)
}

// generate produces one token for each request whose prompt is complete.
func (e *Engine) generate() {
	remaining := e.running[:0]
	for _, request := range e.running {
		if request.promptRemaining > 0 || !request.generate(e.config.TokensPerEvent) {
			remaining = append(remaining, request)
			continue
		}
		e.usedTokens -= request.heldTokens
	}
	e.running = remaining
}

// generate produces one token and reports whether it was the last.
func (r *Request) generate(eventTokens int) bool {
	r.generated++
	last := r.generated >= r.OutputTokens
	// The first token is sent immediately, later ones in groups.
	if last || r.generated == 1 || r.generated%eventTokens == 0 {
		r.events++
		r.OnEvent(r.events, last)
	}
	return last
}

func (e *Engine) dropCancelled() {
	e.waiting = dropCancelled(e.waiting, func(*Request) {})
	e.running = dropCancelled(e.running, func(r *Request) { e.usedTokens -= r.heldTokens })
}

func dropCancelled(requests []*Request, dropped func(*Request)) []*Request {
	remaining := requests[:0]
	for _, request := range requests {
		if request.cancelled {
			dropped(request)
			continue
		}
		remaining = append(remaining, request)
	}
	return remaining
}
