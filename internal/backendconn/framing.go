package backendconn

import "net/http"

// Framing says how the end of an answer's body is marked (RFC 9112, section 6).
type Framing string

// The framings. Their values are those of the metric's label.
const (
	// FramingLength means that the header states the length of the body.
	FramingLength Framing = "length"
	// FramingChunks means that the body comes in chunks, the last of which marks its end.
	FramingChunks Framing = "chunks"
	// FramingClose means that the body ends with its connection. A backend server that
	// exits ends it as well.
	FramingClose Framing = "close"
)

func framingOf(response *http.Response) Framing {
	switch {
	case response.Body == http.NoBody:
		return FramingLength // the header says that there is none, also with an answer to HEAD
	case len(response.TransferEncoding) > 0:
		return FramingChunks
	case response.ContentLength >= 0:
		return FramingLength
	}
	return FramingClose
}
