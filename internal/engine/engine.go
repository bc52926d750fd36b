package engine

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
)

// maxCatchUp is how far behind its schedule an engine makes up steps. On a
// busy machine the tokens then come in bursts, at the right rate.
const maxCatchUp = 100 * time.Millisecond

// sweepInterval is the time between two removals of streams past retention.
const sweepInterval = time.Second

// maxRequestBytes bounds a request's body.
const maxRequestBytes = 64 << 20

// Engine is one stand-in backend server.
type Engine struct {
	config   Config
	listener *crashListener
	server   *fasthttp.Server
	registry *prometheus.Registry
	ledger   *ledger
	wake     chan struct{}

	mu       sync.Mutex
	running  []*stream
	streams  map[string]*stream
	finished map[string]time.Time
	cache    *prefixCache
	plain    int // plain calls in progress
	load     Load
}

// Listen makes an engine on a loopback address; port 0 picks a free one. Run
// serves it.
func Listen(config Config, address string) (*Engine, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	e := &Engine{
		config:   config.withDefaults(),
		listener: &crashListener{Listener: listener, open: make(map[net.Conn]struct{})},
		registry: prometheus.NewRegistry(),
		ledger:   newLedger(),
		wake:     make(chan struct{}, 1),
		streams:  make(map[string]*stream),
		finished: make(map[string]time.Time),
	}
	e.cache = newPrefixCache(e.config.CacheTokens)
	e.refreshLoad(time.Now())
	e.registerMetrics()
	e.server = &fasthttp.Server{
		Handler:               e.handle,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxRequestBytes,
		Logger:                silent{},
	}
	return e, nil
}

// silent drops fasthttp's own log: connections that end early are expected.
type silent struct{}

func (silent) Printf(string, ...any) {}

// Address is the address on which the engine listens.
func (e *Engine) Address() string { return e.listener.Addr().String() }

// Runs returns the number of runs of a request id.
func (e *Engine) Runs(id string) int { return e.ledger.count(id) }

// Ledger returns the runs that began at or after since, and those that run.
func (e *Engine) Ledger(since time.Time) []Run { return e.ledger.snapshot(since) }

// Run serves until the context ends and then drops what still runs.
func (e *Engine) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- e.server.Serve(e.listener) }()
	e.loop(ctx)
	_ = e.listener.Close()
	e.stopAll(RunCancelled)
	e.listener.closeOpen()
	return <-served
}

// loop steps the batch. One goroutine with one timer serves all requests.
func (e *Engine) loop(ctx context.Context) {
	refresh := time.NewTicker(e.config.LoadInterval)
	defer refresh.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var next time.Time // zero while nothing runs
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-refresh.C:
			e.refreshLoad(now)
		case now := <-sweep.C:
			e.sweep(now)
		case <-e.wake:
		case <-timer.C:
		}
		now := time.Now()
		next = e.advance(now, next)
		if next.IsZero() {
			timer.Reset(time.Hour)
		} else {
			timer.Reset(time.Until(next))
		}
	}
}

// advance makes the steps that are due and returns the time of the next one.
func (e *Engine) advance(now, next time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) == 0 {
		return time.Time{}
	}
	if next.IsZero() {
		return now.Add(e.stepTime())
	}
	if now.Sub(next) > maxCatchUp {
		next = now
	}
	for !next.After(now) && len(e.running) > 0 {
		e.step(now)
		next = next.Add(e.stepTime())
	}
	if len(e.running) == 0 {
		return time.Time{}
	}
	return next
}

// stepTime grows in proportion once more requests run than there are slots.
func (e *Engine) stepTime() time.Duration {
	if len(e.running) <= e.config.Slots {
		return e.config.Step
	}
	return e.config.Step * time.Duration(len(e.running)) / time.Duration(e.config.Slots)
}

// step yields one token for each running request that is past its prompt.
func (e *Engine) step(now time.Time) {
	kept := e.running[:0]
	for _, s := range e.running {
		first, ended := s.advance()
		if first {
			e.ledger.update(func() { s.run.FirstTokenNS = now.UnixNano() })
		}
		if ended {
			e.settle(s, now)
			continue
		}
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// settle writes a run's end into the ledger.
func (e *Engine) settle(s *stream, now time.Time) {
	produced, state := s.progress()
	e.ledger.update(func() { s.run.Tokens = produced })
	e.ledger.end(s.run, state, now)
	e.finished[s.id] = now
}

// admit begins a run at once: an engine knows no priorities and no queue. It returns
// false if the engine has crashed since the caller's connection was accepted.
func (e *Engine) admit(s *stream, caller net.Conn) bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener.lost(caller) {
		return false
	}
	cached := e.cache.take(s.prompt)
	s.promptSize = promptTokens(s.prompt)
	s.cached = cached
	s.prefill = (s.promptSize - cached) / e.config.PrefillTokens
	s.run, _ = e.ledger.begin(s.id, now)
	e.ledger.update(func() { s.run.PromptTokens, s.run.CachedTokens = s.promptSize, cached })
	s.prompt = ""
	e.streams[s.id] = s
	delete(e.finished, s.id)
	e.running = append(e.running, s)
	e.wakeLoop()
	return true
}

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// find returns the latest stream of an id, or nil.
func (e *Engine) find(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// cancel stops the run of an id and frees its slot.
func (e *Engine) cancel(id string) bool {
	s := e.find(id)
	if s == nil {
		return false
	}
	s.stop(RunCancelled)
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.running {
		if other == s {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.settle(s, time.Now())
			break
		}
	}
	return true
}

// stopAll drops every run.
func (e *Engine) stopAll(state RunState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopLocked(state)
}

// stopLocked drops every run. It must be called with mu held.
func (e *Engine) stopLocked(state RunState) {
	now := time.Now()
	for _, s := range e.running {
		s.stop(state)
		e.settle(s, now)
	}
	e.running = nil
}

// sweep forgets the streams that ended longer ago than the retention.
func (e *Engine) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, ended := range e.finished {
		if now.Sub(ended) > e.config.Retention {
			delete(e.finished, id)
			delete(e.streams, id)
		}
	}
}
