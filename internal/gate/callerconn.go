package gate

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// callerConn is a caller's connection.
type callerConn struct {
	conn     net.Conn
	opened   boottime.Instant
	requests atomic.Int64 // that were read from it
}

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// withCallerConn keeps the connection in the context of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{conn: conn, opened: boottime.Now()})
}

// callerConnOf returns the connection of a request, nil if it came on none.
func callerConnOf(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return conn
}

// callerLeft tells whether the caller has closed its connection. The server
// notices that as well, but on a busy processor long after: the request would
// be sent on for nobody. A caller whose time has run out is still there and
// gets an answer.
func callerLeft(ctx context.Context) bool {
	if errors.Is(ctx.Err(), context.Canceled) && !drained(ctx) {
		return true
	}
	caller := callerConnOf(ctx)
	if caller == nil {
		return false
	}
	conn, ok := caller.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	// Control, not Read: the server's own read holds the lock of Read.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = (n == 0 && err == nil) || err == unix.ECONNRESET
	})
	return err == nil && left
}
