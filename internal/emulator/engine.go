// Package emulator models a model engine: continuous batching, prompts read in
// chunks between the generated tokens, and a limited memory that keeps prompt
// parts. It knows no clock: its owner tells it when, so it serves a stand-in in
// real time and a model of a fleet in simulated time alike.
package emulator

import (
	"time"
)

// Config describes an engine.
type Config struct {
	Slots              int           // requests that run at once
	Step               time.Duration // time of one step with nothing to read
	StepPerRequest     time.Duration // added for each running request
	PrefillTokensPerMS float64       // prompt tokens read in a millisecond
	PrefillChunk       int           // most prompt tokens read in one step
	MemoryTokens       int           // tokens that running requests and kept parts share
	TokensPerEvent     int           // generated tokens in one event
}

// DefaultConfig is an engine about as large as the first users'.
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

// Request is a request at an engine.
type Request struct {
	Segments     []Segment
	OutputTokens int // tokens to be generated
	// OnEvent is called at each event with its number, from 1; last tells the
	// end. It must not call the engine.
	OnEvent func(number int, last bool)

	unread    int // prompt tokens still to be read
	held      int // tokens that it holds in memory by itself
	generated int
	events    int
	cancelled bool
}

// tokens returns the memory that the request takes.
func (r *Request) tokens() int {
	total := r.OutputTokens
	for _, part := range r.Segments {
		total += part.Tokens
	}
	return total
}

// Cancel takes the request out at the engine's next step.
func (r *Request) Cancel() { r.cancelled = true }

// Engine is a model engine. It is not safe for concurrent use.
type Engine struct {
	config  Config
	waiting []*Request // in the order of arrival
	running []*Request
	memory  int // tokens of the running requests
	kept    *keptParts

	// PrefilledTokens counts the prompt tokens read so far, Kept those that were kept.
	PrefilledTokens, CachedTokens int
}

// NewEngine returns an idle engine.
func NewEngine(config Config) *Engine {
	return &Engine{config: config, kept: newKeptParts()}
}

// Add queues a request.
func (e *Engine) Add(request *Request) { e.waiting = append(e.waiting, request) }

// Load returns the running and the waiting requests.
func (e *Engine) Load() (running, waiting int) { return len(e.running), len(e.waiting) }

// Step makes one step and returns how long it takes, 0 if there is nothing to
// do. Events happen at its end.
func (e *Engine) Step() time.Duration {
	e.dropCancelled()
	e.admit()
	if len(e.running) == 0 {
		return 0
	}
	read := e.read()
	took := e.config.Step + time.Duration(len(e.running))*e.config.StepPerRequest
	took += time.Duration(float64(read) / e.config.PrefillTokensPerMS * float64(time.Millisecond))
	e.generate()
	return took
}

// admit starts waiting requests in their order, while slots and memory last.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots {
		next := e.waiting[0]
		if len(e.running) > 0 && e.memory+next.tokens() > e.config.MemoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		next.held = next.tokens()
		e.memory += next.held
		found := e.kept.find(next.Segments)
		e.CachedTokens += found
		for _, part := range next.Segments {
			next.unread += part.Tokens
		}
		next.unread -= found
		e.running = append(e.running, next)
		e.kept.shrink(e.config.MemoryTokens - e.memory)
	}
}

// read reads a chunk of the prompt that came first and returns its tokens.
func (e *Engine) read() int {
	for _, request := range e.running {
		if request.unread == 0 {
			continue
		}
		chunk := min(request.unread, e.config.PrefillChunk)
		request.unread -= chunk
		e.PrefilledTokens += chunk
		if request.unread == 0 {
			e.keep(request)
		}
		return chunk
	}
	return 0
}

// keep lets the prompt that has been read count as kept from now on. That its
// parts may yield while the request still runs makes the model simpler than an
// engine, which keeps them until then.
func (e *Engine) keep(request *Request) {
	e.memory -= request.held - request.OutputTokens
	request.held = request.OutputTokens
	e.kept.keep(request.Segments)
	e.kept.shrink(e.config.MemoryTokens - e.memory)
}

// generate makes one token for each request whose prompt has been read.
func (e *Engine) generate() {
	left := e.running[:0]
	for _, request := range e.running {
		if request.unread > 0 || !request.generate(e.config.TokensPerEvent) {
			left = append(left, request)
			continue
		}
		e.memory -= request.held
	}
	e.running = left
}

// generate makes one token and returns whether it was the last.
func (r *Request) generate(eventTokens int) bool {
	r.generated++
	last := r.generated >= r.OutputTokens
	// The first token is told at once, later ones in groups.
	if last || r.generated == 1 || r.generated%eventTokens == 0 {
		r.events++
		r.OnEvent(r.events, last)
	}
	return last
}

func (e *Engine) dropCancelled() {
	e.waiting = dropCancelled(e.waiting, func(*Request) {})
	e.running = dropCancelled(e.running, func(r *Request) { e.memory -= r.held })
}

func dropCancelled(requests []*Request, dropped func(*Request)) []*Request {
	left := requests[:0]
	for _, request := range requests {
		if request.cancelled {
			dropped(request)
			continue
		}
		left = append(left, request)
	}
	return left
}
