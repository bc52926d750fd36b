package backendconn

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// dialTimeout bounds opening a connection. A lost SYN is sent again after a second, so
	// a longer timeout would rarely succeed within the time limits of callers.
	dialTimeout = 600 * time.Millisecond
	// userTimeout makes the kernel close a connection whose peer has acknowledged nothing for
	// so long, if ackTimeout has not.
	userTimeout = 2500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount make the kernel probe a peer that
	// has acknowledged a request and sends nothing; see ackWatch. A connection whose state was
	// lost in the network is detected within about three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// readBufferSize fits the head of an answer and several events.
	readBufferSize = 4096
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	limiter *headLimiter
	reader  *bufio.Reader // reads from limiter
	// usableUntil is the time after which the peer may close the idle connection.
	usableUntil boottime.Instant
	// idleSince is when the last answer ended. statedTimeout is the idle timeout in its
	// Keep-Alive header, 0 for none.
	idleSince     boottime.Instant
	statedTimeout time.Duration
	opened        boottime.Instant
	kept          bool // a complete answer has come on it
	unidentified  bool // an answer that names no request has come on it after that
	probed        bool // by the kernel
	// aborted becomes true when this router starts to close the connection before its
	// answer has ended.
	aborted atomic.Bool
	silent  atomic.Bool // aborted as the peer does not acknowledge the request
}

func newConn(connection net.Conn) *conn {
	limiter := &headLimiter{reader: connection}
	return &conn{
		Conn: connection, opened: boottime.Now(),
		limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferSize),
	}
}

func newDialer() *net.Dialer {
	const off = -1 // until a request has been acknowledged
	return &net.Dialer{Timeout: dialTimeout, KeepAlive: off, Control: setSilenceLimits}
}

// abort closes the connection and discards data that has not been delivered. A plain close
// would keep sending it: after a partition, a request would arrive long after its caller
// has disconnected.
func (c *conn) abort() {
	c.aborted.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close() // the connection is unusable either way
}

// unusableReason returns why an idle connection can't be reused, or "".
func (c *conn) unusableReason(now boottime.Instant) Reason {
	switch {
	case now >= c.usableUntil:
		return ReasonExpired
	case !c.isQuiet():
		return ReasonClosed
	}
	return ""
}

// failureReason returns the reason for an error of a read or write. An error that this
// router caused by closing the connection does not count as the peer's, unless the peer was silent.
func (c *conn) failureReason() Reason {
	if c.aborted.Load() && !c.silent.Load() {
		return ReasonAbandoned
	}
	return ReasonBroken
}

// explain returns why a read or write has failed with the error.
func (c *conn) explain(err error) error {
	if c.silent.Load() && !errors.Is(err, ErrUnidentified) {
		return errors.Wrap(ErrUnacknowledged, err.Error())
	}
	return err
}

// ending describes the end of the connection.
func (c *conn) ending(reason Reason, now boottime.Instant) ending {
	return ending{reason: reason, at: now, idleSince: c.idleSince, statedTimeout: c.statedTimeout}
}

// isQuiet reports whether an idle connection is open and has no bytes to read.
func (c *conn) isQuiet() bool { return c.reader.Buffered() == 0 && IsQuiet(c.Conn) }

// IsQuiet reports whether an idle connection is open and has no bytes to read. Bytes on an
// idle connection belong to no request. A request written to a closed connection must be
// avoided because it can't be told from one that has run.
func IsQuiet(connection net.Conn) bool {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
