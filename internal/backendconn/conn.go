package backendconn

import (
	"bufio"
	"net"
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
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	_ = c.Close() // it is unusable whatever closing says
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
