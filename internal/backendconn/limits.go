package backendconn

import (
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/answerhead"
)

const (
	// maxHeadBytes bounds what precedes the body of an answer: interim answers, status line and
	// header. A header echoes parts of the request's, which configurations usually bound to
	// 16 KiB.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines in it. A parsed line takes some hundred bytes of memory,
	// however short it is.
	maxHeadLines = 512
	// maxStrayBytes bounds the body of an answer to an earlier request that is skipped. A caller
	// waits meanwhile.
	maxStrayBytes = 1 << 20
)

// ErrAnswerTooLarge says that a backend server sent more than an answer may have. The server
// may have run the request, and it did not close the connection.
var ErrAnswerTooLarge = errors.New("the backend server sent more than an answer may have")

// headLimiter is a reader that fails with ErrAnswerTooLarge when the head of an answer exceeds
// its bounds, and with answerhead.ErrInvalid when it is not valid. It limits nothing outside of heads.
type headLimiter struct {
	reader    io.Reader
	inHead    bool
	bytesLeft int
	linesLeft int
	checker   answerhead.Checker
	// err is why the rest of the head could not be read. The parser drops it if a part of a line
	// has come, and fails for that part.
	err error
}

// begin starts the head of an answer, of which the bytes have been read ahead. It returns an error if
// they show that it is not valid.
func (l *headLimiter) begin(readAhead []byte) error {
	l.inHead, l.bytesLeft, l.linesLeft, l.err = true, maxHeadBytes, maxHeadLines, nil
	l.checker.Begin()
	return l.checker.Check(readAhead)
}

// end ends the head. What has been read ahead belongs to the body.
func (l *headLimiter) end() { l.inHead = false }

// Read implements io.Reader. A buffered reader reads on within a head only if all that it has
// read so far belongs to that head, so the bounds are checked before each read. A head may thus
// exceed them by one buffer.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.reader.Read(p)
	}
	if l.bytesLeft <= 0 || l.linesLeft <= 0 {
		l.err = ErrAnswerTooLarge
		return 0, l.err
	}
	n, err := l.reader.Read(p)
	l.err = err
	l.bytesLeft -= n
	l.linesLeft -= bytes.Count(p[:n], []byte{'\n'})
	if invalid := l.checker.Check(p[:n]); invalid != nil {
		l.err = invalid
		return 0, l.err
	}
	return n, err
}
