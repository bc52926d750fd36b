package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// errStreamLost tells that the model engine knows nothing of a run. If it took
// the run before, or a connection to it broke, it has been started again since;
// if a connection was silent from the first byte on, the run may not have
// reached it.
var errStreamLost = errors.New("the model engine has lost the stream")

// maxBroken is the number of connections that may break one after the other
// without a byte of the answer, while the engine passes health checks.
const maxBroken = 3

// runModel runs a request at a model engine and reads its stream to the end.
//
// The connection to the engine may be half-open while the engine is well. It
// would be noticed as a run that never ends. So a connection without
// a byte for some time is given up, and the stream is resumed by its offset on
// a new one, which does no harm when the engine was merely slow. The wait
// doubles while resumed connections are silent too.
func (r *run) runModel(ctx context.Context) error {
	err := r.attempt(ctx, minEngineSilence, r.fillFirst)
	err = r.resume(ctx, err)
	if err != nil && ctx.Err() != nil {
		_ = r.backend.cancelStream(r.id)
	}
	return err
}

// resume goes on after the error of a first attempt until the answer is whole
// or there is no use in going on.
func (r *run) resume(ctx context.Context, err error) error {
	silence, broken := minEngineSilence, 0
	for err != nil && broken < maxBroken {
		silent := timedOut(err)
		if silent {
			silence = min(2*silence, maxEngineSilence)
		} else {
			broken++
			err = r.crashOr(ctx, err)
		}
		if !r.resumable(ctx, err) {
			break
		}
		before := r.answer.size()
		err = r.attempt(ctx, silence, r.fillNext)
		if errors.Is(err, errStreamLost) && (!silent || before > 0) {
			return crashError{err}
		}
		if r.answer.size() > before {
			silence, broken = minEngineSilence, 0
		}
	}
	return err
}

// resumable tells whether the run may go on after an error.
func (r *run) resumable(ctx context.Context, err error) bool {
	var crashed crashError
	switch {
	case ctx.Err() != nil, isDialError(err), errors.As(err, &crashed), errors.Is(err, errTooLarge), errors.Is(err, errStreamLost):
		return false
	}
	return true
}

// attempt makes one exchange and takes its body.
func (r *run) attempt(ctx context.Context, silence time.Duration, fill func(*fasthttp.Request) bool) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	resumed := fill(request)
	finish, err := r.exchange(ctx, request, response, silence)
	if err != nil {
		return r.resumeFailed(resumed, err)
	}
	defer finish()
	defer func() { _ = response.CloseBodyStream() }()
	if resumed && response.StatusCode() == fasthttp.StatusNotFound {
		return errStreamLost
	}
	if resumed && response.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("the model engine answers a resume with status %d", response.StatusCode())
	}
	r.answer.setHead(headOf(response))
	return r.copyBody(response)
}

// resumeFailed turns a refused connection of a resumed run into a crash: the
// engine took the run before and takes no connection now.
func (r *run) resumeFailed(resumed bool, err error) error {
	if resumed && isDialError(err) {
		return crashError{err}
	}
	return err
}

func (r *run) fillFirst(request *fasthttp.Request) bool {
	r.backend.fillRequest(request, r.id, r.request)
	r.request = nil // its body is not needed twice
	return false
}

func (r *run) fillNext(request *fasthttp.Request) bool {
	r.backend.fillResume(request, r.id, r.answer.size())
	return true
}

// timedOut tells whether a connection was given up for its silence. The HTTP
// library's own error of a timeout is no net.Error, as it lacks Temporary. Taken
// for a broken connection, it would end each whole answer whose first byte takes
// longer than a few connections are silent.
func timedOut(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
