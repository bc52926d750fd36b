package gate

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

const (
	// firstBodyBytes is the largest first buffer of a body.
	firstBodyBytes = 4 << 10
	// unreadBodyTime is how long the rest of a body may take that is not read any more. A caller
	// that is still sending would lose the answer to a reset.
	unreadBodyTime = 200 * time.Millisecond
)

// readBody reads the complete body, so that a request whose body breaks off is never forwarded.
// Memory is reserved before it is taken: the stated length at once, of a body without one as much
// as has come. held is what the request has reserved.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request, request *Request, view *knowledge.View, held *bodyHold) *Refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	refusal := h.readWholeBody(w, r, request, int64(view.Index.Configuration.Limits.BodyBytes), held)
	control := http.NewResponseController(w)
	if refusal == nil {
		// Otherwise the deadline would end the read that detects a disconnected caller.
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	// The rest of the body would be taken for the next request, and might never come.
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyTime))
	return refusal
}

// readWholeBody reads the body, of limit bytes at most (0: no limit), into the request.
func (h *handler) readWholeBody(w http.ResponseWriter, r *http.Request, request *Request, limit int64, held *bodyHold) *Refusal {
	if limit > 0 && r.ContentLength > limit {
		return bodyTooLarge()
	}
	memory := h.settings.get().BodyMemory
	if !held.grow(max(r.ContentLength, firstBodyBytes), memory) {
		return noBodyMemory()
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(request.Timeout)) // as in setWriteDeadline
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			size := bodyBufferSize(cap(data), r.ContentLength, limit)
			if !held.grow(int64(size), memory) {
				return noBodyMemory()
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			request.Body = data
			return nil
		}
		if err != nil {
			return bodyFailed(err)
		}
	}
}

// bodyBufferSize returns the size of the buffer that follows one of the size, 0 for the first:
// twice as much, but no more than the stated length, or else the limit (0: none), needs.
func bodyBufferSize(size int, stated, limit int64) int {
	if size == 0 && stated >= 0 {
		return int(min(firstBodyBytes, stated+1)) // the end shows in a read after the last byte
	}
	if size == 0 {
		return firstBodyBytes
	}
	if stated >= int64(size) {
		return int(min(int64(2*size), stated+bytes.MinRead))
	}
	if limit >= int64(size) {
		return int(min(int64(2*size), limit+1)) // as above
	}
	return 2 * size
}

func noBodyMemory() *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonMemory, RetryAfter: startRetryAfter}
}

func bodyTooLarge() *Refusal {
	return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonBodyTooLarge}
}

// bodyFailed returns the refusal of a request whose body could not be read.
func bodyFailed(err error) *Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Refusal{Status: http.StatusRequestTimeout, Reason: ReasonBodyTimeout}
	}
	return &Refusal{Status: http.StatusBadRequest, Reason: ReasonBodyTimeout}
}
