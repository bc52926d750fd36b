package platform

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// The paths of the HTTP form of the API.
const (
	pathObject = "/v1/object"
	pathList   = "/v1/list"
	pathWatch  = "/v1/watch"
	pathVMs    = "/v1/vms"
)

// The names of query arguments and headers of the HTTP form.
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

// statusOf gives the HTTP status that stands for an error.
func statusOf(err error) int {
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

// errorOf gives the error that an HTTP status stands for, nil for 200. The
// platform answers no status but 200 to a write that took effect.
func errorOf(status int) error {
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
