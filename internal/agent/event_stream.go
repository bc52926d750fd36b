package agent

import (
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// errInsideEvent tells that a stream ended as its framing allows, but not where a whole
// stream can end.
var errInsideEvent = errors.New("the stream ended inside an event")

// eventBoundary tells whether a server-sent event stream, given in pieces of any size, is
// inside an event. Lines end with CR, LF or both.
type eventBoundary struct {
	insideLine  bool
	insideEvent bool // a line that is no comment came since the last empty one
	carriage    bool // the last byte was a CR
}

func (e *eventBoundary) write(p []byte) {
	for _, b := range p {
		secondOfLineEnd := e.carriage && b == '\n'
		e.carriage = b == '\r'
		switch {
		case secondOfLineEnd:
		case b == '\r' || b == '\n':
			e.insideEvent = e.insideEvent && e.insideLine
			e.insideLine = false
		default:
			e.insideEvent = e.insideEvent || !e.insideLine && b != ':'
			e.insideLine = true
		}
	}
}

// whole reports whether a stream may end here.
func (e *eventBoundary) whole() bool { return !e.insideEvent && !e.insideLine }

// identityLength is the length that the HTTP library gives a body that ends with its
// connection.
const identityLength = -2

// checkEnd returns an error for a body that has been read to its end but is not whole: an
// event stream that ends inside an event, or with its connection before the first byte.
func (r *run) checkEnd(response *fasthttp.Response) error {
	mediaType, _, _ := strings.Cut(string(response.Header.ContentType()), ";")
	if !strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream") {
		return nil
	}
	if !r.boundary.whole() || r.answer.size() == 0 && response.Header.ContentLength() == identityLength {
		return errors.WithStack(errInsideEvent)
	}
	return nil
}
