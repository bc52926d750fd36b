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

// maxCatchUp is the longest delay for which an engine makes up missed steps. On
// a busy machine tokens then arrive in bursts, but at the right mean rate.
const maxCatchUp = 100 * time.Millisecond

// sweepInterval is the time between two removals of expired streams.
const sweepInterval = time.Second

// maxRequestBytes is the maximum size of a request's body.
const maxRequestBytes = 64 << 20

// Engine is a stand-in backend server.
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

// Listen returns an engine that listens on the address; port 0 picks a free port.
// Run serves it.
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
		Logger:                discardLogger{},
	}
	return e, nil
}

// discardLogger discards fasthttp's log, since connections that end early are
// expected in tests.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Address returns the address on which the engine listens.
func (e *Engine) Address() string { return e.listener.Addr().String() }

// Runs returns the number of runs of a request id.
func (e *Engine) Runs(id string) int { return e.ledger.count(id) }

// Ledger returns the runs that started at or after since and those still running.
func (e *Engine) Ledger(since time.Time) []Run { return e.ledger.snapshot(since) }

// Run serves until the context ends and then cancels all runs.
func (e *Engine) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- e.server.Serve(e.listener) }()
	e.loop(ctx)
	_ = e.listener.Close()
	e.stopAll(RunCancelled)
	e.listener.closeOpen()
	return <-served
}

// loop steps the batch. A single goroutine and timer serve all requests.
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

// advance runs the steps that are due and returns the time of the next one, or
// zero if nothing runs.
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

// stepTime returns the duration of a step. It grows in proportion to the running
// requests once there are more than slots.
func (e *Engine) stepTime() time.Duration {
	if len(e.running) <= e.config.Slots {
		return e.config.Step
	}
	return e.config.Step * time.Duration(len(e.running)) / time.Duration(e.config.Slots)
}

// step generates one token for each running request whose prompt is complete.
func (e *Engine) step(now time.Time) {
	active := e.running[:0]
	for _, s := range e.running {
		first, ended := s.advance()
		if first {
			e.ledger.update(func() { s.run.FirstTokenNS = now.UnixNano() })
		}
		if ended {
			e.recordEnd(s, now)
			continue
		}
		active = append(active, s)
	}
	clear(e.running[len(active):])
	e.running = active
}

// recordEnd records a run's end in the ledger.
func (e *Engine) recordEnd(s *stream, now time.Time) {
	produced, state := s.progress()
	e.ledger.update(func() { s.run.Tokens = produced })
	e.ledger.end(s.run, state, now)
	e.finished[s.id] = now
}

// admit starts a run immediately, since an engine has neither priorities nor a
// queue. It returns false if the engine has crashed since it accepted conn.
func (e *Engine) admit(s *stream, conn net.Conn) bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener.predatesCrash(conn) {
		return false
	}
	cached := e.cache.lookupAndAdd(s.prompt)
	s.promptSize = promptTokens(s.prompt)
	s.cached = cached
	s.prefill = (s.promptSize - cached) / e.config.PrefillTokens
	s.run, _ = e.ledger.start(s.id, now)
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

// find returns the latest stream of a request id, or nil.
func (e *Engine) find(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// cancel stops the run of a request id and frees its slot. It reports whether
// there was a stream of that id.
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
			e.recordEnd(s, time.Now())
			break
		}
	}
	return true
}

// stopAll stops every run.
func (e *Engine) stopAll(state RunState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopLocked(state)
}

// stopLocked stops every run. It must be called with mu held.
func (e *Engine) stopLocked(state RunState) {
	now := time.Now()
	for _, s := range e.running {
		s.stop(state)
		e.recordEnd(s, now)
	}
	e.running = nil
}

// sweep removes the streams that ended longer ago than Config.Retention.
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
