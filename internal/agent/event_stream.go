package agent

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/bluebellchute/bluebellchute/internal/eventstream"
)

// identityLength is the length that the HTTP library gives a body that ends with its
// connection.
const identityLength = -2

// checkEnd returns an error for a body that has been read to its end but is not whole: an
// event stream that ends inside an event, or with its connection before the first byte. A resumed
// part of a stream need not state again what it is a part of.
func (r *run) checkEnd(response *fasthttp.Response) error {
	if r.answer.contentType() != "text/event-stream" {
		return nil
	}
	if !r.scanner.Whole() || r.answer.size() == 0 && response.Header.ContentLength() == identityLength {
		return errors.WithStack(eventstream.ErrInsideEvent)
	}
	return nil
}
