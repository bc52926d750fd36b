package eventstream

import (
	"errors"
	"io"
)

// ErrInsideEvent says that a stream ended inside an event: it has been broken off.
var ErrInsideEvent = errors.New("the stream ended inside an event")

// Reader reads a stream and returns ErrInsideEvent in place of io.EOF if the stream ends
// inside an event. It passes on all other errors and all bytes.
type Reader struct {
	stream  io.Reader
	scanner Scanner
}

// NewReader returns a reader of the stream.
func NewReader(stream io.Reader) *Reader { return &Reader{stream: stream} }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	r.scanner.Scan(p[:n])
	if err == io.EOF && !r.scanner.Whole() {
		err = ErrInsideEvent
	}
	return n, err
}
