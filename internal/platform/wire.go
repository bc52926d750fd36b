package platform

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// The paths of the HTTP API.
const (
	pathObject = "/v1/object"
	pathList   = "/v1/list"
	pathWatch  = "/v1/watch"
	pathVMs    = "/v1/vms"
)

// The names of query arguments and headers of the HTTP API.
const (
	argKey        = "key"
	argPrefix     = "prefix"
	argExpect     = "expect"
	argFrom       = "from"
	argWaitMillis = "wait_ms"
	headerVersion = "Platform-Version"
)

// listReply is the body of a reply to a list.
type listReply struct {
	Version Version
	Objects []Object
}

// watchReply is the body of a reply to a watch.
type watchReply struct {
	Version Version
	Changes []Change
}

// statusFromError returns the HTTP status for an error.
func statusFromError(err error) int {
	switch {
	case errors.Is(err, ErrNotFound):
		return fasthttp.StatusNotFound
	case errors.Is(err, ErrConflict):
		return fasthttp.StatusConflict
	case errors.Is(err, ErrRateLimited):
		return fasthttp.StatusTooManyRequests
	case errors.Is(err, ErrCompacted):
		return fasthttp.StatusGone
	case errors.Is(err, ErrTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, ErrUnavailable):
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusInternalServerError
	}
}

// errorFromStatus returns the error for an HTTP status, nil for 200. A write
// that took effect is answered with no other status than 200.
func errorFromStatus(status int) error {
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		return ErrNotFound
	case fasthttp.StatusConflict:
		return ErrConflict
	case fasthttp.StatusTooManyRequests:
		return ErrRateLimited
	case fasthttp.StatusGone:
		return ErrCompacted
	case fasthttp.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case fasthttp.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return errors.Errorf("unexpected status %d", status)
	}
}
