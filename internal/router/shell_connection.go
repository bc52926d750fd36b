package router

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// dialTimeout bounds the opening of a data connection.
	dialTimeout = 700 * time.Millisecond
	// keepAlivePeriod finds idle data connections whose peer is gone.
	keepAlivePeriod = 5 * time.Second
	// idleConnLife closes idle data connections before the agent does, so that
	// no request meets a connection that has just been closed.
	idleConnLife = 8 * time.Second
	// maxConnsPerAgent bounds the requests in flight at one agent.
	maxConnsPerAgent = 4096
)

// dialError tells that no connection could be opened: nothing was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// agentHost holds the data connections to one agent.
type agentHost struct {
	silence atomic.Int64 // nanoseconds without data after which a read fails
	pooled  *fasthttp.HostClient
	fresh   *fasthttp.HostClient // one connection per call
}

// hosts holds the data connections by the agents' data addresses.
type hosts struct {
	mu    sync.RWMutex
	known map[fleet.Address]*agentHost
}

func newHosts() *hosts { return &hosts{known: make(map[fleet.Address]*agentHost)} }

func (h *hosts) get(address fleet.Address, silence time.Duration) *agentHost {
	h.mu.RLock()
	host := h.known[address]
	h.mu.RUnlock()
	if host == nil {
		host = h.add(address)
	}
	host.silence.Store(int64(silence))
	return host
}

func (h *hosts) add(address fleet.Address) *agentHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	if host, ok := h.known[address]; ok {
		return host
	}
	host := &agentHost{}
	host.pooled = host.client(address)
	host.fresh = host.client(address)
	h.known[address] = host
	return host
}

// keep closes the connections to agents that are not in the fleet any more.
func (h *hosts) keep(listed map[fleet.Address]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, host := range h.known {
		if !listed[address] {
			host.pooled.CloseIdleConnections()
			delete(h.known, address)
		}
	}
}

func (a *agentHost) client(address fleet.Address) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      string(address),
		Dial:                      a.dial,
		StreamResponseBody:        true,
		MaxConns:                  maxConnsPerAgent,
		MaxIdleConnDuration:       idleConnLife,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
}

// neverRetry keeps the library from sending a request again that may have
// arrived. The world decides that.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

func (a *agentHost) dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, &dialError{cause: errors.WithStack(err)}
	}
	return &watchedConn{Conn: conn, host: a}, nil
}

// watchedConn fails a read or write that makes no progress for the silence
// timeout. TCP itself notices a peer that vanished only after minutes, and not
// at all when it has nothing to send.
type watchedConn struct {
	net.Conn
	host *agentHost
}

func (c *watchedConn) Read(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(c.deadline()); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c *watchedConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(c.deadline()); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *watchedConn) deadline() time.Time {
	return time.Now().Add(time.Duration(c.host.silence.Load()))
}
