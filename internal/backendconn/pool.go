package backendconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// statedIdleShare is the part of a stated idle timeout for which a
	// connection is used again at least. The rest covers the time on the way.
	statedIdleShare = 0.7
	// idleMargin is the part of a long stated timeout that is left unused: the peer's
	// time began when it had sent its answer, which may have waited here to be read.
	idleMargin = 500 * time.Millisecond
	// unstatedIdle is how long a connection is used again whose peer states no
	// timeout. Timeouts below a second can't be stated.
	unstatedIdle = 700 * time.Millisecond
	// sweepInterval is the pause between two searches for connections that
	// have been idle too long.
	sweepInterval = 500 * time.Millisecond
)

// ErrTooMany tells that the bound of connections to a backend server is
// reached.
var ErrTooMany = errors.New("all connections to the backend server are in use")

// Pool keeps connections to backend servers. Its methods may be called
// concurrently.
type Pool struct {
	dialer *net.Dialer
	opened func(Opening)
	mu     sync.Mutex
	hosts  map[fleet.Address]*host
	ended  history
}

// host holds the connections to one address.
type host struct {
	idle []*conn // the most recently used last
	open int     // idle ones and those in use
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{
		dialer: newDialer(),
		opened: func(Opening) {},
		hosts:  make(map[fleet.Address]*host),
		ended:  make(history),
	}
}

// OnOpen sets a function that is called for each connection that is opened. It
// must be set before the pool is used.
func (p *Pool) OnOpen(opened func(Opening)) { p.opened = opened }

// Run closes idle connections until the context ends, then all of them.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeIdle(func(*conn) bool { return true })
			return nil
		case <-ticker.C:
			now := boottime.Now()
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

// DropIdle closes the idle connections to an address. A backend server that
// crashed and started again there knows nothing of them, and behind a partition
// it could not say so: a request sent on one would be lost.
func (p *Pool) DropIdle(address fleet.Address) {
	p.mu.Lock()
	p.ended.replace(address)
	p.mu.Unlock()
	p.closeIdleAt(address, func(*conn) bool { return true }, ReasonReplaced)
}

func (p *Pool) pruneHistory(now boottime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended.prune(now)
}

// anyAddress stands for all addresses in closeIdleAt.
const anyAddress fleet.Address = ""

func (p *Pool) closeIdle(expired func(*conn) bool) {
	p.closeIdleAt(anyAddress, expired, ReasonExpired)
}

func (p *Pool) closeIdleAt(wanted fleet.Address, expired func(*conn) bool, reason Reason) {
	var closing []*conn
	now := boottime.Now()
	p.mu.Lock()
	for address, host := range p.hosts {
		if wanted != anyAddress && wanted != address {
			continue
		}
		kept := host.idle[:0]
		for _, c := range host.idle {
			if expired(c) {
				closing = append(closing, c)
				host.open--
				p.ended.add(address, c.ending(reason, now))
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
		_ = c.Close() // nothing is lost with an idle connection
	}
}

// get returns a kept connection that is known to be sound, or a new one. most
// bounds the connections to the address.
func (p *Pool) get(ctx context.Context, address fleet.Address, most int) (*conn, error) {
	for {
		kept := p.takeIdle(address)
		if kept == nil {
			break
		}
		reason := kept.unusable(boottime.Now())
		if reason == "" {
			return kept, nil
		}
		p.discard(address, kept, reason)
	}
	former, reserved := p.reserve(address, most)
	if !reserved {
		return nil, ErrTooMany
	}
	opened, err := p.dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		p.release(address, former)
		return nil, errors.WithStack(err)
	}
	p.opened(former.opening(boottime.Now()))
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBufferSize)}, nil
}

func (p *Pool) takeIdle(address fleet.Address) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := p.hosts[address]
	if host == nil || len(host.idle) == 0 {
		return nil
	}
	last := len(host.idle) - 1
	kept := host.idle[last]
	host.idle[last] = nil
	host.idle = host.idle[:last]
	return kept
}

// reserve counts a connection that is about to be opened, unless most are open.
// It returns the ending that the connection makes up for, or one that holds just
// the reason if there is none.
func (p *Pool) reserve(address fleet.Address, most int) (ending, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.hosts[address]
	if known == nil {
		known = &host{}
		p.hosts[address] = known
	}
	if most > 0 && known.open >= most {
		return ending{}, false
	}
	former, found := p.ended.take(address, boottime.Now())
	switch {
	case found:
	case known.open > 0:
		former = ending{reason: ReasonBusy}
	default:
		former = ending{reason: ReasonFirst}
	}
	known.open++
	return former, true
}

// release counts a connection no more. ended tells how it ended; for one that
// could not be opened it is what reserve returned, so that the next one is
// opened for the same reason.
func (p *Pool) release(address fleet.Address, ended ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ended.at != 0 {
		p.ended.add(address, ended)
	}
	host := p.hosts[address]
	host.open--
	if host.open <= 0 && len(host.idle) == 0 {
		delete(p.hosts, address)
	}
}

// idleLife returns for how long an idle connection is used again whose peer states the
// idle timeout, 0 for none.
func idleLife(stated time.Duration) time.Duration {
	if stated <= 0 {
		return unstatedIdle
	}
	return max(time.Duration(float64(stated)*statedIdleShare), stated-idleMargin)
}

// put keeps a connection whose answer has been read to its end. stated is the
// idle timeout that the backend server named, 0 for none.
func (p *Pool) put(address fleet.Address, c *conn, stated time.Duration) {
	c.idleSince, c.stated = boottime.Now(), stated
	c.usableUntil = c.idleSince.Add(idleLife(stated))
	p.mu.Lock()
	defer p.mu.Unlock()
	host := p.hosts[address]
	host.idle = append(host.idle, c)
}

// discard closes a connection that was in use or taken for use.
func (p *Pool) discard(address fleet.Address, c *conn, reason Reason) {
	c.abort()
	p.release(address, c.ending(reason, boottime.Now()))
}
