package answerhead

import "net"

// Conn is a connection on which the heads of answers are checked. Each request must be written before
// its answer is read.
type Conn struct {
	net.Conn
	checker  Checker
	answered bool // something was read since the last write
}

// NewConn returns a connection on which no request has been written yet.
func NewConn(connection net.Conn) *Conn { return &Conn{Conn: connection} }

// Read implements net.Conn. Its error wraps ErrInvalid if the bytes are no valid head.
func (c *Conn) Read(p []byte) (int, error) {
	c.answered = true
	n, err := c.Conn.Read(p)
	if invalid := c.checker.Check(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.answered {
		c.answered = false
		c.checker.Begin()
	}
	return c.Conn.Write(p)
}
