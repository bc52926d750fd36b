package router

import (
	"io"
	"net"
	"time"
)

// callerListener gives each caller's connection a deadline per write. A reader
// that takes nothing would otherwise hold an answer in memory for good, while
// one deadline for a whole stream would cut long answers.
type callerListener struct {
	*net.TCPListener
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	// Without data in either direction, only keepalive finds a caller's host
	// that has vanished while its request waits.
	err = conn.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     callerIdle,
		Interval: callerProbe,
		Count:    callerProbes,
	})
	if err != nil {
		_ = conn.Close()
		return l.Accept()
	}
	return &callerConn{TCPConn: conn, writeTimeout: l.writeTimeout}, nil
}

// Keepalive of callers' connections.
const (
	callerIdle   = 15 * time.Second
	callerProbe  = 5 * time.Second
	callerProbes = 3
)

// callerConn is one caller's connection.
type callerConn struct {
	*net.TCPConn
	writeTimeout time.Duration
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(p)
}

// Bounds of what is read after an answer to a call that was not read whole.
const (
	lingerTime  = time.Second
	lingerBytes = 1 << 20
)

// Close implements net.Conn. When a call is refused before it was read whole,
// closing at once makes the kernel reset the connection, and the caller sees a
// broken connection in place of the refusal. So the rest is read for a while.
func (c *callerConn) Close() error {
	if err := c.CloseWrite(); err != nil {
		return c.TCPConn.Close()
	}
	if err := c.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return c.TCPConn.Close()
	}
	go func() {
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
		_ = c.TCPConn.Close()
	}()
	return nil
}
