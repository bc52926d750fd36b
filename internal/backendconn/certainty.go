package backendconn

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// While the list of backend servers is overdue, a server may have crashed and started again at its
// address, as another process. The process at the other end of a connection is certain to be the
// listed one if it has served since before the list was last complete. Only one process accepts
// connections at an address at a time, and its connections end with it. So an answer to a request
// that was sent at some time shows that the process of that connection is also the one of all
// connections that had been opened until then, and certainty passes from older connections to newer
// ones with the usual traffic. Where traffic has not shown it, a probe on an idle connection does.

// ErrUncertainProcess says that it is not certain whether the process at the address of a backend
// server is the listed one. Nothing was sent.
var ErrUncertainProcess = errors.New("the backend server may have started again since it was listed")

const (
	// probeTimeout bounds the wait for the answer to a probe.
	probeTimeout = 250 * time.Millisecond
	// maxProbes bounds the probes that one connection waits for: one in progress when it was
	// opened shows nothing about it, the next one does.
	maxProbes = 2
	// probePause is the time after a probe that failed until another one is sent without a request that needs it.
	probePause = time.Second
)

// Certainty is how a pool finds out whether connections lead to the listed processes.
type Certainty struct {
	// ListedAt returns as of when the processes at all addresses are known, 0 while that is
	// current.
	ListedAt func() boottime.Instant
	// Probe returns a request that any process at the address answers at once.
	Probe func(address fleet.Address) *Request
	// Probed is called after each probe. It may be nil.
	Probed func(answered bool)
}

// probe is one that is in progress.
type probe struct{ ended chan struct{} }

// SetCertainty sets how the pool finds out whether connections lead to the listed processes. It
// must be called before the pool is used.
func (p *Pool) SetCertainty(certainty Certainty) { p.certainty = certainty }

// Certain reports whether a connection to the address could be certain to lead to the listed
// process: the list is current, or there is a connection that shows it.
func (p *Pool) Certain(address fleet.Address) bool {
	listedAt := p.certainty.ListedAt()
	if listedAt == 0 {
		return true
	}
	for {
		p.mu.Lock()
		host := p.hosts[address]
		if host == nil {
			p.mu.Unlock()
			return false
		}
		host.updateSpare(listedAt)
		spare, probing := host.spare, host.probe != nil
		if spare == nil || spare.isQuiet() {
			p.mu.Unlock()
			return spare != nil || probing
		}
		host.spare = nil
		p.mu.Unlock()
		p.discard(address, spare, ReasonClosed)
	}
}

// updateSpare keeps an idle connection to the listed process in reserve for probes while the list
// is overdue. Callers' requests would end with it when callers disconnect.
func (h *host) updateSpare(listedAt boottime.Instant) {
	if listedAt == 0 {
		h.releaseSpare()
		return
	}
	if h.spare != nil || h.probe != nil {
		return
	}
	if at := h.newestCertain(listedAt); at >= 0 {
		h.spare = h.idle[at]
		h.spare.setProbed(true) // it shows that the process serves, without requests
		h.idle = append(h.idle[:at], h.idle[at+1:]...)
	}
}

// releaseSpare makes the spare an idle connection like others.
func (h *host) releaseSpare() {
	if h.spare != nil {
		h.spare.setProbed(false)
		h.idle = append([]*conn{h.spare}, h.idle...)
		h.spare = nil
	}
}

// releaseSpares makes the spare of an address, or of all with anyAddress, an idle connection
// like others.
func (p *Pool) releaseSpares(only fleet.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, host := range p.hosts {
		if only == anyAddress || only == address {
			host.releaseSpare()
		}
	}
}

// newestCertain returns the position of the idle connection that was used last of those which lead
// to the process listed at the time, -1 if there is none.
func (h *host) newestCertain(listedAt boottime.Instant) int {
	for at := len(h.idle) - 1; at >= 0; at-- {
		if h.certain(h.idle[at], listedAt) {
			return at
		}
	}
	return -1
}

// certain reports whether the connection leads to the process that was listed at the time.
func (h *host) certain(c *conn, listedAt boottime.Instant) bool {
	return h.lifetimes.servingSince(c.opened) <= listedAt
}

// MarkServing states that the backend server which sent the answer goes on serving at its address.
// One that drains may have left the address to its successor.
func (a *Answer) MarkServing() {
	if a.identified {
		a.pool.markServing(a.address, a.conn, a.sent)
	}
}

// markServing records that a request which was sent at the time has been answered on the
// connection.
func (p *Pool) markServing(address fleet.Address, c *conn, sent boottime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := p.hosts[address]
	host.lifetimes = host.lifetimes.add(lifetime{from: c.opened, until: sent})
}

// Certain reports whether the answer comes from the listed process. It waits for a probe if needed.
func (a *Answer) Certain() bool { return a.pool.ascertain(a.address, a.conn) }

// ascertain reports whether the open connection leads to the listed process. It waits for a probe if
// needed.
func (p *Pool) ascertain(address fleet.Address, c *conn) bool {
	for probes := 0; ; probes++ {
		certain, running := p.checkOrProbe(address, c, probes < maxProbes)
		if running == nil {
			return certain
		}
		<-running.ended
	}
}

// checkOrProbe reports whether the connection leads to the listed process. If that isn't known, it
// returns the probe in progress at the address, or a new one if it may start one.
func (p *Pool) checkOrProbe(address fleet.Address, c *conn, mayProbe bool) (certain bool, running *probe) {
	listedAt := p.certainty.ListedAt()
	p.mu.Lock()
	defer p.mu.Unlock()
	host := p.hosts[address]
	if listedAt == 0 || host.certain(c, listedAt) {
		return true, nil
	}
	if !mayProbe {
		return false, nil
	}
	if host.probe != nil {
		return false, host.probe
	}
	host.updateSpare(listedAt)
	if host.spare == nil {
		return false, nil
	}
	return false, p.startProbe(address, host)
}

// Process is the one that served at an address at some time.
type Process struct {
	address fleet.Address
	at      boottime.Instant
}

// Process returns the process that sent the answer.
func (a *Answer) Process() Process { return Process{address: a.address, at: a.conn.opened} }

// ServedSince reports whether the process is known to have served since the time or before. If a
// probe could show it, it starts one and does not wait for it.
func (p *Pool) ServedSince(process Process, since boottime.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	host := p.hosts[process.address]
	if host == nil {
		return false
	}
	if host.lifetimes.servingSince(process.at) <= since {
		return true
	}
	host.updateSpare(since)
	// A probe that fails takes its connection: not all of them in a short pause of the server.
	mayProbe := host.probe == nil && boottime.Now().Sub(host.probeLostAt) > probePause
	if mayProbe && host.spare != nil && host.certain(host.spare, since) {
		p.startProbe(process.address, host)
	}
	return false
}

// startProbe starts a probe on the host's spare connection. The pool is locked.
func (p *Pool) startProbe(address fleet.Address, host *host) *probe {
	running := &probe{ended: make(chan struct{})}
	spare := host.spare
	host.probe, host.spare = running, nil
	go func() {
		defer close(running.ended)
		sent := boottime.Now()
		reusable, err := exchangeProbe(spare, p.certainty.Probe(address))
		if err == nil {
			p.markServing(address, spare, sent)
		}
		if p.certainty.Probed != nil {
			p.certainty.Probed(err == nil)
		}
		p.endProbe(address, host, spare, reusable)
	}()
	return running
}

// maintainSpares updates the spare connections of all addresses, and keeps those from being closed by their
// peers for being idle.
func (p *Pool) maintainSpares(now boottime.Instant) {
	listedAt := p.certainty.ListedAt()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, host := range p.hosts {
		host.updateSpare(listedAt)
		if spare := host.spare; spare != nil && spare.statedTimeout > 0 && now > spare.usableUntil {
			p.startProbe(address, host)
		}
	}
}

// endProbe keeps the connection of a probe for the next one if it can be used again.
func (p *Pool) endProbe(address fleet.Address, host *host, spare *conn, reusable bool) {
	p.mu.Lock()
	host.probe = nil
	if !reusable {
		host.probeLostAt = boottime.Now()
	}
	if reusable {
		spare.idleSince = boottime.Now()
		spare.usableUntil = spare.idleSince.Add(idleLifetime(spare.statedTimeout))
		host.spare = spare
	}
	p.mu.Unlock()
	if !reusable {
		p.discard(address, spare, ReasonBroken)
	}
}

// exchangeProbe sends a probe on an idle connection and reads its answer, whatever that says. It
// reports whether the connection can be used again, and returns an error if no answer came.
func exchangeProbe(c *conn, request *Request) (reusable bool, err error) {
	if !c.isQuiet() {
		return false, errors.New("the connection is closed")
	}
	if err := c.SetDeadline(time.Now().Add(probeTimeout)); err != nil {
		return false, err
	}
	if _, err := c.Write(encodeHead(request)); err != nil {
		return false, err
	}
	response, err := readFinalHead(c, request.sent())
	if err != nil {
		return false, err
	}
	if request.Match(response.Header) != MatchOwn {
		return false, errors.New("the answer belongs to another request")
	}
	if skipBody(response) != nil || response.Close || c.reader.Buffered() > 0 {
		return false, nil
	}
	return c.SetDeadline(time.Time{}) == nil, nil
}
