package gate

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// drainRetryAfter is the time to come back for a request that a draining router does not take.
// Other routers serve it at once.
const drainRetryAfter = 50 * time.Millisecond

// errDrainEnded is the cause of the end of requests that are in progress when draining ends.
var errDrainEnded = errors.New("draining has ended")

// drainState tells how far the process is on its way to its end. Its methods may be called
// concurrently.
//
// Before the signal to stop, and while the balancer may not have heard of it, all requests
// are taken. After that the listener is closed and requests come on open connections only.
// Such a request is taken only if its time limit ends before the process does: otherwise it
// might be cut in the middle. A request that has been sent to a backend server may be sent to
// another one until the end. What is in progress then gets a final answer.
type drainState struct {
	startedAt      atomic.Int64 // boottime.Instant of the signal to stop, 0 before it
	deadline       atomic.Int64 // boottime.Instant at which requests in progress are ended
	listenerClosed atomic.Bool  // no connections are accepted any more

	requests context.Context         // that of all requests descends from it
	cancel   context.CancelCauseFunc // ends it
}

func newDrainState() *drainState {
	requests, cancel := context.WithCancelCause(context.Background())
	return &drainState{requests: requests, cancel: cancel}
}

// start notes the signal to stop and when requests in progress will be ended.
func (d *drainState) start(now, ends boottime.Instant) {
	d.deadline.Store(int64(ends))
	d.startedAt.Store(int64(now))
}

func (d *drainState) draining() bool { return d.startedAt.Load() != 0 }

// elapsed returns the time since the signal to stop.
func (d *drainState) elapsed(now boottime.Instant) time.Duration {
	return now.Sub(boottime.Instant(d.startedAt.Load()))
}

// accepts tells whether a request that has not been sent to a backend server may be.
func (d *drainState) accepts(request *Request, now boottime.Instant) bool {
	switch {
	case !d.listenerClosed.Load():
		return true
	case d.requests.Err() != nil:
		return false
	}
	return request.Remaining(now) <= boottime.Instant(d.deadline.Load()).Sub(now)
}

// end ends the requests in progress and takes none any more.
func (d *drainState) end() { d.cancel(errDrainEnded) }

// cancelledByDrain tells whether the context ended because draining has ended.
func cancelledByDrain(ctx context.Context) bool { return context.Cause(ctx) == errDrainEnded }

// drainRefusal is the answer to a request that may not be sent any more and has not run.
func drainRefusal() Refusal {
	return Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonDraining, RetryAfter: drainRetryAfter}
}
