package platform

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// call is one HTTP call to the platform.
type call struct {
	method string
	path   string
	args   *fasthttp.Args
	body   []byte
	write  bool
	wait   time.Duration // for which the platform may hold the call
}

// reply is what the platform answered.
type reply struct {
	version Version
	body    []byte
}

// outcome is the end of one call.
type outcome struct {
	reply reply
	err   error
}

// do makes a call. It returns as soon as the context ends; the library knows
// no contexts, so the call itself then ends unheard at its time-out.
func (c *Client) do(ctx context.Context, request call) (reply, error) {
	deadline := time.Now().Add(c.callTimeout + request.wait)
	ended := make(chan outcome, 1)
	go func() {
		answer, err := c.exchange(request, deadline)
		ended <- outcome{reply: answer, err: err}
	}()
	select {
	case end := <-ended:
		return end.reply, errors.Wrap(end.err, c.name(request))
	case <-ctx.Done():
		return reply{}, errors.Wrap(abandoned(ctx, request), c.name(request))
	}
}

// abandoned tells what is known of a call whose context ended first.
func abandoned(ctx context.Context, request call) error {
	if request.write {
		return ErrOutcomeUnknown
	}
	return ctx.Err()
}

func (c *Client) exchange(request call, deadline time.Time) (reply, error) {
	httpRequest := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpRequest)
	httpReply := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(httpReply)
	httpRequest.Header.SetMethod(request.method)
	httpRequest.SetRequestURI(fmt.Sprintf("http://%s%s?%s", c.address, request.path, request.args.QueryString()))
	httpRequest.SetBodyRaw(request.body)
	if err := c.http.DoDeadline(httpRequest, httpReply, deadline); err != nil {
		return reply{}, unreached(request, err)
	}
	status := httpReply.StatusCode()
	if err := errorOf(status); err != nil {
		if request.write && status == fasthttp.StatusInternalServerError {
			return reply{}, errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
		return reply{}, err
	}
	version, _ := strconv.ParseUint(string(httpReply.Header.Peek(headerVersion)), 10, 64)
	return reply{version: Version(version), body: slices.Clone(httpReply.Body())}, nil
}

// unreached tells what is known after a call that got no reply. A write that
// was perhaps sent may have taken effect: to call it failed would let an
// operator's edit show up after it was reported as not accepted.
func unreached(request call, err error) error {
	neverSent := errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns)
	if request.write && !neverSent {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}

func (c *Client) name(request call) string {
	return fmt.Sprintf("platform %s: %s %s", c.address, request.method, request.path)
}
