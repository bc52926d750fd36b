package control

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// probeAfter is the time without a byte, while a call waits for its reply,
	// after which a connection is probed.
	probeAfter = 500 * time.Millisecond
	// probeTimeout is the time after a probe without a byte after which the
	// connection is closed.
	probeTimeout = 400 * time.Millisecond
)

// watchedConn is a client's connection that closes itself once it has gone
// silent.
//
// Something between two nodes may forget a connection that was open: then
// nothing sent on it arrives and nothing tells so, while new connections work.
// Every call would time out, for good. So the connection notes since when a
// call has waited without any byte from the peer. After probeAfter it has a
// probe sent, which the peer answers at once even where the call itself is
// slow; without a byte in probeTimeout it closes, and the next call opens a
// new connection.
//
// The time runs from call to call: calls that are given up sooner than the
// connection is found silent must not begin it anew. Pings of HTTP/2 would do
// the same, but they go out on idle connections too, twice a second for each
// peer that was called lately, which costs more than the calls.
type watchedConn struct {
	countingConn
	probe func()

	waitingSince atomic.Int64 // Unix nanoseconds of the first call since the last byte; 0: none

	mu     sync.Mutex
	armed  bool // a check is due
	probed bool // the next check closes
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.countingConn.Read(p)
	if n > 0 {
		c.waitingSince.Store(0)
	}
	return n, err
}

// expectReply notes that a call is sent.
func (c *watchedConn) expectReply() {
	c.waitingSince.CompareAndSwap(0, time.Now().UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.armed {
		c.armed = true
		time.AfterFunc(probeAfter, c.check)
	}
}

// check probes the connection when a call has waited for probeAfter, and closes
// it when the probe is not answered either.
func (c *watchedConn) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.waitingSince.Load()
	if since == 0 {
		c.armed, c.probed = false, false
		return
	}
	waited := time.Since(time.Unix(0, since))
	switch {
	case waited < probeAfter:
		c.probed = false
		time.AfterFunc(probeAfter-waited, c.check)
	case !c.probed:
		c.probed = true
		go c.probe()
		time.AfterFunc(probeTimeout, c.check)
	default:
		_ = c.Close()
	}
}

// newConn returns a connection of the transport to a peer.
func (p *Pool) newConn(conn net.Conn, transport *http.Transport, peer fleet.Address) *watchedConn {
	return &watchedConn{
		countingConn: countingConn{Conn: conn, metrics: p.metrics},
		probe:        func() { probe(transport, peer) },
	}
}

// probe makes a call that the peer answers whatever its state. Its outcome does
// not matter, only that the connection carries bytes.
func probe(transport *http.Transport, peer fleet.Address) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL(peer)+healthPath, nil)
	if err != nil {
		return
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// watchCalls is a context whose calls are noted at their connection.
func watchCalls(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*watchedConn); ok {
				conn.expectReply()
			}
		},
	})
}
