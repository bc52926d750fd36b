package gate

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// withCallerConn keeps the connection in the context of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerLeft tells whether the caller has closed its connection. The server
// notices that as well, but on a busy processor long after: the request would
// be sent on for nobody. A caller whose time has run out is still there and
// gets an answer.
func callerLeft(ctx context.Context) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return true
	}
	conn, ok := ctx.Value(callerConnKey{}).(syscall.Conn)
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
