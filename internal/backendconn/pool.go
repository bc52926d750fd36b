package backendconn

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// minIdleFraction is the least fraction of a stated idle timeout for which an idle
	// connection is reused. The rest covers the transfer time.
	minIdleFraction = 0.7
	// idleMargin is the part of a long stated timeout that is not used: the peer's timer
	// started when it had sent its answer, which may have waited here to be read.
	idleMargin = 500 * time.Millisecond
	// defaultIdleLifetime is how long an idle connection is reused if the peer states no
	// timeout. Timeouts below a second can't be stated.
	defaultIdleLifetime = 700 * time.Millisecond
	// maxUnheard is how long a backend server may not have been heard when a request is sent on an
	// open connection. A new connection finds out whether the server can be reached before the
	// request is sent.
	maxUnheard = 3 * time.Second
	// sweepInterval is the time between two searches for expired idle connections.
	sweepInterval = 500 * time.Millisecond
	// unidentifiedTime is how long requests that must not run twice get connections of their own
	// after an answer that names no request.
	unidentifiedTime = 30 * time.Second
)

// ErrTooMany says that the limit of connections to a backend server is reached.
var ErrTooMany = errors.New("all connections to the backend server are in use")

// Pool keeps persistent connections to backend servers. Its methods may be called
// concurrently.
type Pool struct {
	dialer    *net.Dialer
	opened    func(Opening)
	certainty Certainty
	mu        sync.Mutex
	hosts     map[fleet.Address]*host
	history   history
	// unidentified is until when requests that must not run twice get connections of their own
	// to an address: an answer that names no request is theirs there.
	unidentified map[fleet.Address]boottime.Instant
}

// host holds the connections to one address.
type host struct {
	idle  []*conn // the most recently used last
	spare *conn   // see updateSpare, nil for none
	probe *probe  // in progress on what was the spare, nil for none
	// probeLostAt is when a probe last failed, 0 for never.
	probeLostAt boottime.Instant
	open        int              // idle, in use, and the spare
	heard       boottime.Instant // when the head or the end of an answer last came, or a connection was opened
	lifetimes   lifetimes
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{
		dialer:    newDialer(),
		opened:    func(Opening) {},
		certainty: Certainty{ListedAt: func() boottime.Instant { return 0 }},
		hosts:     make(map[fleet.Address]*host),
		history:   make(history),

		unidentified: make(map[fleet.Address]boottime.Instant),
	}
}

// OnOpen sets a function that is called for each connection that is opened. It must be
// called before the pool is used.
func (p *Pool) OnOpen(opened func(Opening)) { p.opened = opened }

// Run closes expired idle connections until the context ends, then all idle ones.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.releaseSpares(anyAddress)
			p.closeIdle(func(*conn) bool { return true })
			return nil
		case <-ticker.C:
			now := boottime.Now()
			p.maintainSpares(now)
			p.closeIdle(func(c *conn) bool { return now > c.usableUntil })
			p.pruneHistory(now)
		}
	}
}

// Open returns the number of connections to the address.
func (p *Pool) Open(address fleet.Address) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if host := p.hosts[address]; host != nil {
		return host.open
	}
	return 0
}

// DropIdle closes the idle connections to an address. A backend server that crashed and
// restarted there does not know them, and behind a partition its resets would not arrive: a
// request sent on one would be lost.
func (p *Pool) DropIdle(address fleet.Address) {
	p.mu.Lock()
	p.history.markReplaced(address)
	p.mu.Unlock()
	p.releaseSpares(address)
	p.closeIdleAt(address, func(*conn) bool { return true }, ReasonReplaced)
}

func (p *Pool) pruneHistory(now boottime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history.prune(now)
	maps.DeleteFunc(p.unidentified, func(_ fleet.Address, until boottime.Instant) bool { return now >= until })
}

// anyAddress matches all addresses in closeIdleAt.
const anyAddress fleet.Address = ""

// closeIdle closes the idle connections that have expired, at all addresses.
func (p *Pool) closeIdle(expired func(*conn) bool) {
	p.closeIdleAt(anyAddress, expired, ReasonExpired)
}

// closeIdleAt closes the idle connections to an address, or to all with anyAddress, for
// which expired returns true, and records the reason.
func (p *Pool) closeIdleAt(only fleet.Address, expired func(*conn) bool, reason Reason) {
	var closing []*conn
	now := boottime.Now()
	p.mu.Lock()
	for address, host := range p.hosts {
		if only != anyAddress && only != address {
			continue
		}
		kept := host.idle[:0]
		for _, c := range host.idle {
			if expired(c) {
				closing = append(closing, c)
				host.open--
				p.history.add(address, c.ending(reason, now))
				continue
			}
			kept = append(kept, c)
		}
		clear(host.idle[len(kept):])
		host.idle = kept
		if host.open <= 0 {
			delete(p.hosts, address)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close() // no data is lost with an idle connection
	}
}

// noteUnidentified records that an answer that names no request came on a connection to the
// address which had been used before.
func (p *Pool) noteUnidentified(address fleet.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unidentified[address] = boottime.Now().Add(unidentifiedTime)
}

// needsOwnConnection reports whether the request must not use a connection that has been used
// before.
func (p *Pool) needsOwnConnection(address fleet.Address, request *Request) bool {
	if !request.AtMostOnce {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return boottime.Now() < p.unidentified[address]
}

// reserveOwn counts a connection that is about to be opened as reserve does, and closes an idle one
// for it if needed.
func (p *Pool) reserveOwn(address fleet.Address, maxConnections int) (ending, bool) {
	previous, reserved := p.reserve(address, maxConnections)
	if reserved {
		return previous, true
	}
	idle := p.takeIdle(address, false)
	if idle == nil {
		idle = p.takeSpare(address)
	}
	if idle == nil {
		return ending{}, false
	}
	p.discard(address, idle, ReasonReplaced)
	return p.reserve(address, maxConnections)
}

// get returns an idle connection that is still usable, or a new one. If the request needs the listed
// process, the connection is certain to lead there.
func (p *Pool) get(ctx context.Context, address fleet.Address, request *Request) (*conn, error) {
	if !request.Certain {
		return p.getAny(ctx, address, request)
	}
	if !p.Certain(address) {
		return nil, ErrUncertainProcess
	}
	c, err := p.getAny(ctx, address, request)
	if err != nil || p.ascertain(address, c) {
		return c, err
	}
	p.giveBack(address, c)
	return nil, ErrUncertainProcess
}

// getAny returns an idle connection that is still usable, or a new one.
func (p *Pool) getAny(ctx context.Context, address fleet.Address, request *Request) (*conn, error) {
	reserve := p.reserve
	own := p.needsOwnConnection(address, request)
	if own {
		reserve = p.reserveOwn
	}
	for !own {
		idle := p.takeIdle(address, request.Certain || request.PreferCertain)
		if idle == nil {
			break
		}
		reason := idle.unusableReason(boottime.Now())
		if reason == "" && p.mayOpenAnother(request) && !p.heardLately(address, boottime.Now()) {
			// The new connection shows whether the others can be used.
			p.discard(address, idle, ReasonUnheard)
			break
		}
		if reason == "" {
			return idle, nil
		}
		p.discard(address, idle, reason)
	}
	previous, reserved := reserve(address, request.MaxConnections)
	if !reserved && own {
		return nil, ErrTooMany
	}
	if !reserved {
		return p.getSpare(address)
	}
	connection, err := p.dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		p.release(address, previous)
		return nil, errors.WithStack(err)
	}
	now := boottime.Now()
	p.opened(previous.opening(now))
	p.markHeard(address, now)
	return newConn(connection), nil
}

// getSpare returns the spare connection where no other connection may be opened.
func (p *Pool) getSpare(address fleet.Address) (*conn, error) {
	spare := p.takeSpare(address)
	if spare == nil {
		return nil, ErrTooMany
	}
	if reason := spare.unusableReason(boottime.Now()); reason != "" {
		p.discard(address, spare, reason)
		return nil, ErrTooMany
	}
	return spare, nil
}

// takeSpare removes the spare connection and returns it, nil if there is none.
func (p *Pool) takeSpare(address fleet.Address) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := p.hosts[address]
	if host == nil {
		return nil
	}
	spare := host.spare
	host.spare = nil
	return spare
}

// takeIdle removes the connection that became idle last and returns it, nil if there is none. It
// prefers one that leads to the listed process if that is needed.
func (p *Pool) takeIdle(address fleet.Address, certain bool) *conn {
	listedAt := p.certainty.ListedAt()
	p.mu.Lock()
	defer p.mu.Unlock()
	host := p.hosts[address]
	if host == nil {
		return nil
	}
	host.updateSpare(listedAt)
	if len(host.idle) == 0 {
		return nil
	}
	at := len(host.idle) - 1
	if newest := host.newestCertain(listedAt); certain && newest >= 0 {
		at = newest
	}
	taken := host.idle[at]
	host.idle = slices.Delete(host.idle, at, at+1)
	return taken
}

// reserve counts a connection that is about to be opened, unless maxConnections are open.
// It returns the ending that the new connection compensates for, or one with only a reason
// if there is none.
func (p *Pool) reserve(address fleet.Address, maxConnections int) (ending, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.hosts[address]
	if known == nil {
		known = &host{}
		p.hosts[address] = known
	}
	if maxConnections > 0 && known.open >= maxConnections {
		return ending{}, false
	}
	previous, found := p.history.take(address, boottime.Now())
	switch {
	case found:
	case known.open > 0:
		previous = ending{reason: ReasonBusy}
	default:
		previous = ending{reason: ReasonFirst}
	}
	known.open++
	return previous, true
}

// release stops counting a connection. end says how it ended; for one that could not be
// opened it is what reserve returned, so that the next one is opened for the same reason.
func (p *Pool) release(address fleet.Address, end ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if end.at != 0 {
		p.history.add(address, end)
	}
	host := p.hosts[address]
	host.open--
	if host.open <= 0 && len(host.idle) == 0 {
		delete(p.hosts, address)
	}
}

// idleLifetime returns for how long an idle connection is reused if its peer states the
// idle timeout, 0 for none.
func idleLifetime(stated time.Duration) time.Duration {
	if stated <= 0 {
		return defaultIdleLifetime
	}
	return max(time.Duration(float64(stated)*minIdleFraction), stated-idleMargin)
}

// put keeps a connection whose answer has been read to its end. stated is the idle timeout
// that the backend server stated, 0 for none.
func (p *Pool) put(address fleet.Address, c *conn, stated time.Duration) {
	c.kept = true
	c.statedTimeout = stated
	c.setProbed(false)
	p.markHeard(address, boottime.Now())
	p.giveBack(address, c)
}

// giveBack adds an open connection to the idle ones.
func (p *Pool) giveBack(address fleet.Address, c *conn) {
	c.idleSince = boottime.Now()
	c.usableUntil = c.idleSince.Add(idleLifetime(c.statedTimeout))
	p.mu.Lock()
	defer p.mu.Unlock()
	host := p.hosts[address]
	host.idle = append(host.idle, c)
}

// markHeard records that an answer of the backend server at the address has ended, or that it has
// accepted a connection.
func (p *Pool) markHeard(address fleet.Address, now boottime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := p.hosts[address]
	host.heard = max(host.heard, now)
}

// mayOpenAnother reports whether the request may be sent on a new connection. While the list is overdue,
// one that must go to the listed process needs a connection which is certain to lead there.
func (p *Pool) mayOpenAnother(request *Request) bool {
	return !request.Certain || p.certainty.ListedAt() == 0
}

// heardLately reports whether the backend server at the address has been heard within
// maxUnheard, on any connection.
func (p *Pool) heardLately(address fleet.Address, now boottime.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.hosts[address].heard) <= maxUnheard
}

// discard closes a connection that is not in the idle list.
func (p *Pool) discard(address fleet.Address, c *conn, reason Reason) {
	c.abort()
	p.release(address, c.ending(reason, boottime.Now()))
}
