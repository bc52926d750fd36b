package slowstart

import (
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// window is the period in which a router sends no more than its allotment to a cold
	// server. It is longer than the second for which the bound holds, because a request
	// leaves the VM slightly after the time that is recorded here.
	window = 1200 * time.Millisecond
	// usableShare is the fraction of the whole bound that the routers use at most. The
	// rest allows for routers that do not know each other yet.
	usableShare = 0.8
	// allotmentTTL is how long a computed allotment is used. Routers join and leave far
	// less often.
	allotmentTTL = 200 * time.Millisecond
	// serverTTL is how long a server is remembered to which nothing is sent.
	serverTTL = time.Minute
)

// Bound is how many requests a cold server may get from all routers in one second.
type Bound struct {
	// Rate is what the server tolerates, in requests per second.
	Rate float64
	// Overshoot is the multiple of Rate that the routers may send, and Slack the number
	// of requests beyond it that is tolerated.
	Overshoot float64
	Slack     float64
}

// Usable returns how many requests per second the routers share among themselves.
func (b Bound) Usable() int {
	target := b.Rate * b.Overshoot
	return int(min(target, usableShare*(target+b.Slack)))
}

// Fleet provides information on the routers of the fleet.
type Fleet interface {
	// Order returns how many known routers precede this one in the order of the key, and
	// how many are known, including this one.
	Order(key uint64) (before, known int)
	// Settled reports whether this router has had time to learn of the others.
	Settled() bool
}

// allotment is a router's share of the bound of one server.
type allotment struct {
	maxRequests int // maximum in a window
	computedAt  boottime.Instant
}

// allotmentOf returns how many of the usable requests in a window this router may send,
// given how many routers precede it in the server's order.
func allotmentOf(usable, before, known int) int {
	if usable < 1 || known < 1 {
		return 0
	}
	each := max(usable/known, 1)
	permitted := min(known, usable/each)
	if before >= permitted {
		return 0
	}
	return each
}

// serverState is what a router has recently sent to one server.
type serverState struct {
	allotment allotment
	sent      []boottime.Instant // send times in the last window, oldest first
	pending   int                // permits that are neither sent nor released yet
	usedAt    boottime.Instant
}

// Limiter applies a router's allotments for all cold servers. It is safe for concurrent
// use.
type Limiter struct {
	fleet Fleet

	mu      sync.Mutex
	servers map[uint64]*serverState
	sweptAt boottime.Instant
}

// NewLimiter returns a limiter for a router of the fleet.
func NewLimiter(fleet Fleet) *Limiter {
	return &Limiter{fleet: fleet, servers: make(map[uint64]*serverState)}
}

// CanAcquire reports whether a request may be sent to the cold server with the key now.
func (l *Limiter) CanAcquire(key uint64, bound Bound, now boottime.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasRoom(l.entry(key, now), key, bound, now)
}

// Permit allows one request to a cold server. The zero value is invalid; nil stands for a
// warm server and is accepted by all methods.
type Permit struct {
	limiter *Limiter
	key     uint64
	done    bool // guarded by the limiter's lock
}

// Acquire returns a permit for one request to the cold server with the key, nil if there
// is none left.
func (l *Limiter) Acquire(key uint64, bound Bound, now boottime.Instant) *Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entry(key, now)
	if !l.hasRoom(entry, key, bound, now) {
		return nil
	}
	entry.pending++
	return &Permit{limiter: l, key: key}
}

// MarkSent records that the request is being sent now. Counting requests when they are
// placed would not suffice: on a busy processor, some wait for a second between the two
// and then leave together.
func (p *Permit) MarkSent(now boottime.Instant) {
	p.finish(func(entry *serverState) {
		entry.sent = append(entry.sent, now)
		entry.usedAt = now
	})
}

// Release returns the permit of a request that was not sent. It does nothing after
// MarkSent.
func (p *Permit) Release() { p.finish(func(*serverState) {}) }

// finish ends the permit once: the request is no longer pending, and record records what
// has become of it.
func (p *Permit) finish(record func(entry *serverState)) {
	if p == nil {
		return
	}
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	entry := p.limiter.servers[p.key]
	entry.pending--
	record(entry)
}

// hasRoom reports whether this router may send one more request to the server.
func (l *Limiter) hasRoom(entry *serverState, key uint64, bound Bound, now boottime.Instant) bool {
	if !l.fleet.Settled() {
		return false
	}
	if entry.allotment.computedAt == 0 || now.Sub(entry.allotment.computedAt) > allotmentTTL {
		before, known := l.fleet.Order(key)
		entry.allotment = allotment{maxRequests: allotmentOf(bound.Usable(), before, known), computedAt: now}
	}
	for len(entry.sent) > 0 && now.Sub(entry.sent[0]) > window {
		entry.sent = entry.sent[1:]
	}
	return len(entry.sent)+entry.pending < entry.allotment.maxRequests
}

// entry returns the state of a server, and creates it if needed.
func (l *Limiter) entry(key uint64, now boottime.Instant) *serverState {
	l.sweep(now)
	entry := l.servers[key]
	if entry == nil {
		entry = &serverState{}
		l.servers[key] = entry
	}
	entry.usedAt = now
	return entry
}

// sweep removes servers to which nothing was sent for serverTTL: they are warm by now, or no
// longer exist.
func (l *Limiter) sweep(now boottime.Instant) {
	if now.Sub(l.sweptAt) < serverTTL {
		return
	}
	l.sweptAt = now
	for key, entry := range l.servers {
		if entry.pending == 0 && now.Sub(entry.usedAt) > serverTTL {
			delete(l.servers, key)
		}
	}
}
