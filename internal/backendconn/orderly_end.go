package backendconn

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// receiptPollInterval is the time between two checks whether a request has been received.
const receiptPollInterval = 2 * time.Millisecond

// checkOrderlyEnd returns io.EOF if the connection has ended in order, or why it has not. The body of
// an answer that ends with its connection is complete only then (RFC 9112, section 8).
//
// A read alone can't tell while the request is being sent: the kernel reports a reset once, to the
// write or to the read, and the other one finds a plain end.
func (a *Answer) checkOrderlyEnd() error {
	err := a.sending.await()
	if err == nil {
		err = AwaitReceipt(a.conn.Conn)
	}
	if err != nil {
		return errors.Wrap(err, "the connection ended before the request was received")
	}
	return io.EOF
}

// await waits until the request has been written. It returns why that failed.
func (s *sending) await() error {
	if s.ended == nil {
		return nil
	}
	<-s.ended
	return s.failure
}

// AwaitReceipt waits, once a connection has been read to its end, until the peer has acknowledged all
// that was written there. It returns an error if the connection is reset before, as it is by a peer
// that closes it and does not read the rest, or if nothing is acknowledged for userTimeout.
func AwaitReceipt(connection net.Conn) error {
	if _, ok := connection.(*net.TCPConn); !ok {
		return nil
	}
	left, since := -1, boottime.Now()
	for {
		unacknowledged, err := unacknowledgedBytes(connection)
		if err != nil {
			return err
		}
		// Checked second, since a reset discards what is unacknowledged.
		if err := pendingError(connection); err != nil {
			return err
		}
		now := boottime.Now()
		switch {
		case unacknowledged == 0:
			return nil
		case unacknowledged != left:
			left, since = unacknowledged, now
		case now.Sub(since) > userTimeout:
			return errors.WithStack(ErrUnacknowledged)
		}
		time.Sleep(receiptPollInterval)
	}
}

// pendingError takes the error of the connection that the kernel has not reported yet, nil for none.
func pendingError(connection net.Conn) error {
	var number int
	var err error
	controlErr := control(connection, func(fd int) { number, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR) })
	switch {
	case controlErr != nil:
		return controlErr
	case err != nil:
		return errors.WithStack(err)
	case number != 0:
		return errors.WithStack(unix.Errno(number))
	}
	return nil
}
