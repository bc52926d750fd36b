package agent

import (
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/bluebellchute/bluebellchute/internal/eventstream"
)

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
	if !r.scanner.Whole() || r.answer.size() == 0 && response.Header.ContentLength() == identityLength {
		return errors.WithStack(eventstream.ErrInsideEvent)
	}
	return nil
}
