package gate

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// drainRetryAfter is the Retry-After for a request that a draining router refuses. Other
// routers can serve it immediately.
const drainRetryAfter = 50 * time.Millisecond

// errDrainEnded is the cause with which requests still in progress are cancelled when
// draining ends.
var errDrainEnded = errors.New("draining has ended")

// drainState tracks the shutdown of the process. Its methods may be called concurrently.
//
// All requests are accepted before the stop signal, and after it until the load balancer
// has had time to notice. Then the listener is closed and requests arrive on open
// connections only. Such a request is accepted only if its time limit ends before the
// process does; otherwise its answer might be cut off. A request that has already been sent
// to a backend server may be retried at another one until the end. Requests still in
// progress then get a final answer.
type drainState struct {
	startedAt      atomic.Int64 // boottime.Instant of the stop signal, 0 before it
	noticeEnd      atomic.Int64 // boottime.Instant from which requests count as late, 0 if not set
	deadline       atomic.Int64 // boottime.Instant at which requests in progress are cancelled
	listenerClosed atomic.Bool

	requests context.Context // parent of all requests' contexts
	cancel   context.CancelCauseFunc
}

func newDrainState() *drainState {
	requests, cancel := context.WithCancelCause(context.Background())
	return &drainState{requests: requests, cancel: cancel}
}

// start records the stop signal and the time at which requests in progress will be
// cancelled.
func (d *drainState) start(startedAt, deadline boottime.Instant) {
	d.deadline.Store(int64(deadline))
	d.startedAt.Store(int64(startedAt))
}

func (d *drainState) draining() bool { return d.startedAt.Load() != 0 }

// elapsed returns the time since the stop signal.
func (d *drainState) elapsed(now boottime.Instant) time.Duration {
	return now.Sub(boottime.Instant(d.startedAt.Load()))
}

// setNoticeEnd sets the time from which requests count as late.
func (d *drainState) setNoticeEnd(at boottime.Instant) { d.noticeEnd.Store(int64(at)) }

// late reports whether the load balancer has had time to notice the stop. It goes by the
// time too: after a stall of the process, requests that arrived in it may be read before
// the listener is closed.
func (d *drainState) late(now boottime.Instant) bool {
	end := boottime.Instant(d.noticeEnd.Load())
	return d.listenerClosed.Load() || (end != 0 && now >= end)
}

// accepts reports whether a request that has not been sent to a backend server yet may be.
func (d *drainState) accepts(request *Request, now boottime.Instant) bool {
	switch {
	case !d.late(now):
		return true
	case d.requests.Err() != nil:
		return false
	}
	return request.Remaining(now) <= boottime.Instant(d.deadline.Load()).Sub(now)
}

// end cancels the requests in progress and accepts no more.
func (d *drainState) end() { d.cancel(errDrainEnded) }

// cancelledByDrain reports whether the context was cancelled because draining ended.
func cancelledByDrain(ctx context.Context) bool { return context.Cause(ctx) == errDrainEnded }

// drainRefusal returns the answer to a request that has not run and may no longer be sent.
func drainRefusal() Refusal {
	return Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonDraining, RetryAfter: drainRetryAfter}
}
