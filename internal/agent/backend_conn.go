package agent

import (
	"io"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/backendconn"
)

// backendConn is a connection to the backend server. Its end is read as one only if the server has
// received all that was written, since a body may end with its connection.
type backendConn struct{ *progressConn }

// Read implements net.Conn.
func (c backendConn) Read(p []byte) (int, error) {
	n, err := c.progressConn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failure := backendconn.AwaitReceipt(c.Conn); failure != nil {
		return n, errors.Wrap(failure, "the connection ended before the request was received")
	}
	return n, io.EOF
}
