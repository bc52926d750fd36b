package fleet

import (
	"net/http"
	"slices"

	"github.com/pkg/errors"
)

// errUnframed is the error of a response whose end is not marked.
var errUnframed = errors.New("the response has neither a length nor chunks")

// RequireFraming returns a transport that fails responses of HTTP/1 whose body ends with the
// connection. If such a body breaks off, it looks complete, and a part of a protobuf message
// may be a valid message.
func RequireFraming(next http.RoundTripper) http.RoundTripper { return framedTransport{next: next} }

type framedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t framedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	framed := response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")
	if response.ProtoMajor == 1 && !framed {
		_ = response.Body.Close() // the response is not used
		return nil, errors.WithStack(errUnframed)
	}
	return response, nil
}

// LimitReplies returns a transport that fails the read of a response's body beyond maxBytes, so
// that a body without end does not fill the memory.
func LimitReplies(next http.RoundTripper, maxBytes int64) http.RoundTripper {
	return limitedTransport{next: next, maxBytes: maxBytes}
}

type limitedTransport struct {
	next     http.RoundTripper
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, t.maxBytes)
	return response, nil
}
