package agent

import (
	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/backendconn"
)

// keptConn is a connection to the backend server on which requests follow each other. It sends a
// request only if nothing has arrived since the answer before: such bytes would be taken for the
// answer to that request, which does not name it.
type keptConn struct {
	*backendConn
	answered bool // something was read since the last write
}

// errNotQuiet says that a request was not sent on a connection that the backend server has closed, or
// on which it has sent bytes that belong to no request.
var errNotQuiet = errors.New("the idle connection is closed or has bytes to read")

// Read implements net.Conn.
func (c *keptConn) Read(p []byte) (int, error) {
	c.answered = true
	return c.backendConn.Read(p)
}

// Write implements net.Conn.
func (c *keptConn) Write(p []byte) (int, error) {
	if c.answered && !backendconn.IsQuiet(c.tcp) {
		return 0, errNotQuiet
	}
	c.answered = false
	return c.backendConn.Write(p)
}

// onQuietConn makes a call, again if its connection was not quiet. The HTTP library closes such
// a connection, and a new one is quiet.
func onQuietConn(call func() error) error {
	for {
		if err := call(); !errors.Is(err, errNotQuiet) {
			return err
		}
	}
}
