package agent

import (
	"io"
	"net"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/answerhead"
	"github.com/bluebellchute/bluebellchute/internal/backendconn"
)

// backendConn is a connection to the backend server, on which the heads of answers are checked.
type backendConn struct {
	*answerhead.Conn
	tcp net.Conn // below, to look at the socket
}

func newBackendConn(connection *progressConn) *backendConn {
	return &backendConn{Conn: answerhead.NewConn(orderlyConn{connection}), tcp: connection.Conn}
}

// orderlyConn is a connection whose end is read as one only if the peer has received all that was
// written, since the body of an answer may end with its connection.
type orderlyConn struct{ *progressConn }

// Read implements net.Conn.
func (c orderlyConn) Read(p []byte) (int, error) {
	n, err := c.progressConn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failure := backendconn.AwaitReceipt(c.Conn); failure != nil {
		return n, errors.Wrap(failure, "the connection ended before the request was received")
	}
	return n, io.EOF
}
