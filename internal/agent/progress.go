package agent

import (
	"net"
	"time"
)

// progressListener accepts connections that fail when a write makes no
// progress. The HTTP server's own write timeout covers a whole answer, which
// may take minutes while it streams.
type progressListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l progressListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &progressConn{Conn: conn, write: writeTimeout}, nil
}

// progressConn is a connection on which each single read and write has a
// timeout. 0 is no timeout.
type progressConn struct {
	net.Conn
	read  time.Duration
	write time.Duration
}

// Read implements net.Conn.
func (c *progressConn) Read(p []byte) (int, error) {
	if c.read > 0 {
		if err := c.Conn.SetReadDeadline(time.Now().Add(c.read)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *progressConn) Write(p []byte) (int, error) {
	if c.write > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
