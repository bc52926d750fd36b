package backendconn

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// firstAckCheck is after how long it is checked whether a request has been acknowledged.
	// Most have been answered by then.
	firstAckCheck = 500 * time.Millisecond
	// ackTimeout is after how long without an acknowledgement a request's connection is reset. It
	// leaves a late timer half a second until userTimeout.
	ackTimeout = 2 * time.Second
)

// ErrUnacknowledged says that a connection was reset as the backend server had not acknowledged
// what had been sent there. What it had not received is lost.
var ErrUnacknowledged = errors.New("the backend server does not acknowledge the request")

// ackWatch resets the connection of a request that the backend server does not acknowledge, and
// makes the kernel probe the connection once the server has.
//
// The bytes of a request are lost with a connection that this router resets, also where a partition
// holds them up. If the kernel's probes ended it first, they could still arrive after the
// partition, seconds after the request was answered otherwise. So there are no probes before: not
// on an idle connection either, since those in progress when it gets a request could end it.
//
// A long request is left to the kernel's timeout, as a server may read it slowly.
type ackWatch struct {
	conn    *conn
	mu      sync.Mutex
	timer   *time.Timer      // nil before the request has been written
	resetAt boottime.Instant // 0 for a long request
	// answered says that an answer has begun, so that the request has arrived, at least its head.
	answered bool
	ended    bool
}

// start begins to watch once the request has been written.
func (w *ackWatch) start(long bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if !long {
		w.resetAt = boottime.Now().Add(ackTimeout)
	}
	w.timer = time.AfterFunc(firstAckCheck, w.check)
}

// answerBegun states that an answer has begun.
func (w *ackWatch) answerBegun() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered = true
}

// end ends watching. The connection may be used for another request afterwards.
func (w *ackWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *ackWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	unacknowledged, err := unacknowledgedBytes(w.conn.Conn)
	now := boottime.Now()
	switch {
	case err != nil: // the connection is closed
	case unacknowledged == 0 || w.answered:
		w.conn.setProbed(true)
	case w.resetAt != 0 && now >= w.resetAt:
		w.conn.silent.Store(true)
		w.conn.abort()
	case w.resetAt != 0:
		w.timer.Reset(w.resetAt.Sub(now))
	default:
		w.timer.Reset(firstAckCheck)
	}
}

// unacknowledgedBytes returns how many bytes the peer has not acknowledged.
func unacknowledgedBytes(connection net.Conn) (bytes int, err error) {
	controlErr := control(connection, func(fd int) { bytes, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	if controlErr != nil {
		return 0, controlErr
	}
	return bytes, errors.WithStack(err)
}

// setProbed sets whether the kernel probes the peer.
func (c *conn) setProbed(probed bool) {
	if c.probed == probed {
		return
	}
	c.probed = probed
	value := 0
	if probed {
		value = 1
	}
	// Fails only on a closed connection.
	_ = control(c.Conn, func(fd int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, value) })
}

// control calls the function with the connection's file descriptor.
func control(connection net.Conn, call func(fd int)) error {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return errors.New("not a TCP connection")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(raw.Control(func(fd uintptr) { call(int(fd)) }))
}

// setSilenceLimits sets how the kernel finds out that a peer is silent. It is a net.Dialer.Control
// function.
func setSilenceLimits(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		for _, option := range []struct {
			name  int
			value time.Duration
			unit  time.Duration
		}{
			{unix.TCP_USER_TIMEOUT, userTimeout, time.Millisecond},
			{unix.TCP_KEEPIDLE, keepAliveIdle, time.Second},
			{unix.TCP_KEEPINTVL, keepAliveInterval, time.Second},
			{unix.TCP_KEEPCNT, keepAliveCount, 1},
		} {
			if sockoptErr == nil {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, option.name, int(option.value/option.unit))
			}
		}
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
