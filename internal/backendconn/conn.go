package backendconn

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// dialTimeout bounds the opening of a connection. One lost opening packet
	// is sent again after a second, so a longer wait would rarely succeed
	// inside the time that callers have.
	dialTimeout = 600 * time.Millisecond
	// userTimeout ends a connection whose peer has acknowledged nothing for so
	// long. Without it a peer behind a partition blocks a request until its
	// deadline.
	userTimeout = 2500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval make the kernel ask a silent peer
	// whether it is there. A connection that something on the way has lost
	// track of is found within about three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// readBufferSize holds the head of an answer and several events.
	readBufferSize = 4096
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// usableUntil is the moment from which the peer may close the idle
	// connection.
	usableUntil boottime.Instant
	// idleSince is the end of the last answer, stated the idle timeout that the
	// peer named with it, 0 for none.
	idleSince boottime.Instant
	stated    time.Duration
	// aborted becomes true when this router starts to close the connection
	// before its answer has ended.
	aborted atomic.Bool
}

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// abort closes the connection and drops what has not been delivered. A plain
// close would go on sending: behind a partition that heals, a request would
// arrive long after its caller has left.
func (c *conn) abort() {
	c.aborted.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	_ = c.Close() // it is unusable whatever closing says
}

// unusable returns why an idle connection can't be used again, or "".
func (c *conn) unusable(now boottime.Instant) Reason {
	switch {
	case now >= c.usableUntil:
		return ReasonExpired
	case !c.silent():
		return ReasonClosed
	}
	return ""
}

// failure returns the reason that an error of a read or write stands for. An
// error that this router caused by closing the connection is none of the peer's.
func (c *conn) failure() Reason {
	if c.aborted.Load() {
		return ReasonAbandoned
	}
	return ReasonBroken
}

// ending describes the end of the connection.
func (c *conn) ending(reason Reason, now boottime.Instant) ending {
	return ending{reason: reason, at: now, idleSince: c.idleSince, stated: c.stated}
}

// silent tells whether an idle connection has neither bytes to read nor been
// closed. Bytes on an idle connection belong to no request, and a request
// written to a closed connection can't be told from one that has run.
func (c *conn) silent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
