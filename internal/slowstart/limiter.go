package slowstart

import (
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// window is the span in which a router sends no more than its part to a cold
	// server. The bound is for any second; the rest covers that a request leaves the
	// VM a little after the moment that is noted here.
	window = 1200 * time.Millisecond
	// useShare is the part of the whole bound that the routers use at most. The rest
	// is for routers that do not know of each other for a moment.
	useShare = 0.8
	// partLife is how long a router's part of a server's bound is kept before it is
	// worked out anew: routers come and go far more rarely.
	partLife = 200 * time.Millisecond
	// forgetAfter is how long a server is remembered to which nothing was sent.
	forgetAfter = time.Minute
)

// Bound is how many requests a cold server may get from all routers in one second.
type Bound struct {
	// Rate is what the server tolerates, in requests a second.
	Rate float64
	// Overshoot is how many times Rate the routers may send, and Slack how many
	// requests beyond that are tolerated.
	Overshoot float64
	Slack     float64
}

// Usable returns how many requests in a second the routers share among them.
func (b Bound) Usable() int {
	aimed := b.Rate * b.Overshoot
	return int(min(aimed, useShare*(aimed+b.Slack)))
}

// Fleet tells which routers there are.
type Fleet interface {
	// Order returns how many of the routers that are known come before this one in
	// the order of the key, and how many are known, this one included.
	Order(key uint64) (before, known int)
	// Settled tells whether this router has had the time to hear of the others.
	Settled() bool
}

// part is a router's part of the bound of one server.
type part struct {
	most int              // requests in a window
	at   boottime.Instant // when it was worked out
}

// partOf returns how many requests in a window are this router's part of the usable
// ones, when so many routers come before it in the server's order.
func partOf(usable, before, known int) int {
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

// server is what a router has sent to one server of late.
type server struct {
	part part
	sent []boottime.Instant // in the last window, the oldest first
	held int                // permits that are neither sent nor released yet
	used boottime.Instant
}

// Limiter holds a router's part of the bounds of all cold servers. Its methods may be
// called concurrently.
type Limiter struct {
	fleet Fleet

	mu      sync.Mutex
	servers map[uint64]*server
	swept   boottime.Instant
}

// NewLimiter returns a limiter for a router of the fleet.
func NewLimiter(fleet Fleet) *Limiter {
	return &Limiter{fleet: fleet, servers: make(map[uint64]*server)}
}

// CanAcquire tells whether a request may be sent to the cold server with the key now.
func (l *Limiter) CanAcquire(key uint64, bound Bound, now boottime.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.room(l.server(key, now), key, bound, now)
}

// Permit allows one request to a cold server. Its zero value is not for use; nil
// stands for a server that is warm.
type Permit struct {
	limiter *Limiter
	key     uint64
	done    bool // guarded by the limiter's lock
}

// Acquire returns the permit for one request to the cold server with the key, nil if
// there is none left.
func (l *Limiter) Acquire(key uint64, bound Bound, now boottime.Instant) *Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.server(key, now)
	if !l.room(entry, key, bound, now) {
		return nil
	}
	entry.held++
	return &Permit{limiter: l, key: key}
}

// MarkSent notes that the request is being sent at the moment. The moment of the decision
// would not do: on a busy processor some requests wait for a second between the two,
// and then leave together.
func (p *Permit) MarkSent(now boottime.Instant) {
	p.end(func(entry *server) {
		entry.sent = append(entry.sent, now)
		entry.used = now
	})
}

// Release gives back the permit of a request that was not sent. It does nothing once
// the request was.
func (p *Permit) Release() { p.end(func(*server) {}) }

func (p *Permit) end(note func(entry *server)) {
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
	entry.held--
	note(entry)
}

// room tells whether the server may get one more request of this router's.
func (l *Limiter) room(entry *server, key uint64, bound Bound, now boottime.Instant) bool {
	if !l.fleet.Settled() {
		return false
	}
	if entry.part.at == 0 || now.Sub(entry.part.at) > partLife {
		before, known := l.fleet.Order(key)
		entry.part = part{most: partOf(bound.Usable(), before, known), at: now}
	}
	for len(entry.sent) > 0 && now.Sub(entry.sent[0]) > window {
		entry.sent = entry.sent[1:]
	}
	return len(entry.sent)+entry.held < entry.part.most
}

func (l *Limiter) server(key uint64, now boottime.Instant) *server {
	l.sweep(now)
	entry := l.servers[key]
	if entry == nil {
		entry = &server{}
		l.servers[key] = entry
	}
	entry.used = now
	return entry
}

// sweep forgets servers that have been warm, or gone, for long.
func (l *Limiter) sweep(now boottime.Instant) {
	if now.Sub(l.swept) < forgetAfter {
		return
	}
	l.swept = now
	for key, entry := range l.servers {
		if entry.held == 0 && now.Sub(entry.used) > forgetAfter {
			delete(l.servers, key)
		}
	}
}
