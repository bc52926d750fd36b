package platform

import (
	"context"
	"fmt"
	"io"
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
	wait   time.Duration // time for which the platform may hold the call
}

// reply is the platform's answer.
type reply struct {
	version Version
	body    []byte
}

// callResult is the result of one call.
type callResult struct {
	reply reply
	err   error
}

// do makes a call. It returns as soon as the context ends; fasthttp does not
// support contexts, so the call itself then continues in the background until
// its timeout.
func (c *Client) do(ctx context.Context, request call) (reply, error) {
	deadline := time.Now().Add(c.callTimeout + request.wait)
	ended := make(chan callResult, 1)
	go func() {
		answer, err := c.exchange(request, deadline)
		ended <- callResult{reply: answer, err: err}
	}()
	select {
	case end := <-ended:
		return end.reply, errors.Wrap(end.err, c.describe(request))
	case <-ctx.Done():
		return reply{}, errors.Wrap(errorAfterCancel(ctx, request), c.describe(request))
	}
}

// errorAfterCancel returns the error of a call whose context ended before the
// reply.
func errorAfterCancel(ctx context.Context, request call) error {
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
		return reply{}, errorWithoutReply(request, err)
	}
	defer func() { _ = httpReply.CloseBodyStream() }()
	body, err := readBody(httpReply)
	if err != nil {
		return reply{}, errorWithoutReply(request, err)
	}
	status := httpReply.StatusCode()
	if err := errorFromStatus(status); err != nil {
		if request.write && status == fasthttp.StatusInternalServerError {
			return reply{}, errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
		return reply{}, err
	}
	if !request.write && httpReply.Header.ContentLength() == identityLength {
		return reply{}, errors.Wrap(ErrUnavailable, "the reply has neither a length nor chunks")
	}
	version, _ := strconv.ParseUint(string(httpReply.Header.Peek(headerVersion)), 10, 64)
	return reply{version: Version(version), body: body}, nil
}

// identityLength is the length that the HTTP library gives a body that ends with its
// connection. If such a body breaks off, it looks complete.
const identityLength = -2

func readBody(httpReply *fasthttp.Response) ([]byte, error) {
	stream := httpReply.BodyStream()
	if stream == nil {
		return slices.Clone(httpReply.Body()), nil
	}
	return io.ReadAll(stream)
}

// errorWithoutReply returns the error of a call that got no reply. A write that
// may have been sent may have taken effect: if it were reported as failed, an
// operator's edit could take effect after it was reported as not accepted.
func errorWithoutReply(request call, err error) error {
	notSent := errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns)
	if request.write && !notSent {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}

func (c *Client) describe(request call) string {
	return fmt.Sprintf("platform %s: %s %s", c.address, request.method, request.path)
}
