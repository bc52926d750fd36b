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
	// probeDelay is the time without a received byte, while a call waits for its
	// reply, after which a connection is probed.
	probeDelay = 500 * time.Millisecond
	// probeTimeout is the time without a received byte after a probe, after which
	// the connection is closed.
	probeTimeout = 400 * time.Millisecond
)

// watchedConn is a client connection that closes itself when the peer no longer
// sends anything on it.
//
// A device between two nodes may drop the state of an open connection. Packets
// sent on the connection are then lost without an error, although new connections
// work, and all calls on it would time out permanently. The connection therefore
// records since when a call has waited without a byte from the peer. After
// probeDelay it sends a probe, to which the peer replies immediately even if the
// call itself is slow. If no byte arrives within probeTimeout, it closes, and the
// next call opens a new connection.
//
// The wait spans several calls: a call that is cancelled before the connection is
// found dead must not restart it. HTTP/2 pings would detect the same, but they are
// also sent on idle connections, twice a second for each recently called peer,
// which costs more than the calls themselves.
type watchedConn struct {
	countingConn
	probe func()

	waitingSince atomic.Int64 // Unix nanoseconds of the first call since the last received byte; 0 if none waits

	mu             sync.Mutex
	checkScheduled bool // a call of check is scheduled
	probed         bool // a probe was sent; the next check closes the connection
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.countingConn.Read(p)
	if n > 0 {
		c.waitingSince.Store(0)
	}
	return n, err
}

// expectReply records that a call is sent and schedules a check.
func (c *watchedConn) expectReply() {
	c.waitingSince.CompareAndSwap(0, time.Now().UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.checkScheduled {
		c.checkScheduled = true
		time.AfterFunc(probeDelay, c.check)
	}
}

// check probes the connection if a call has waited for probeDelay, and closes it
// if the probe gets no reply either.
func (c *watchedConn) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.waitingSince.Load()
	if since == 0 {
		c.checkScheduled, c.probed = false, false
		return
	}
	waited := time.Since(time.Unix(0, since))
	switch {
	case waited < probeDelay:
		c.probed = false
		time.AfterFunc(probeDelay-waited, c.check)
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

// probe sends a health check, to which the peer replies in any state. Its result
// doesn't matter, only that bytes arrive on the connection.
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

// withReplyTracking returns a context whose calls are recorded at their connection
// by expectReply.
func withReplyTracking(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*watchedConn); ok {
				conn.expectReply()
			}
		},
	})
}
