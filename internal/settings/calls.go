package settings

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// RetryPolicy says how calls to the platform are repeated.
type RetryPolicy struct {
	MaxAttempts int                                          // of one call, or of one edit in conflicts
	CallTimeout time.Duration                                // of one attempt
	Backoff     func(ctx context.Context, attempt int) error // waits before a repeat
}

// Default limits of Retry.
const (
	defaultAttempts    = 12
	defaultCallTimeout = 2 * time.Second
	firstPause         = 20 * time.Millisecond
	longestPause       = time.Second
)

// DefaultRetryPolicy repeats for some seconds with growing pauses.
func DefaultRetryPolicy() RetryPolicy {
	return RetryPolicy{MaxAttempts: defaultAttempts, CallTimeout: defaultCallTimeout, Backoff: pause}
}

// pause waits a random part of a time that doubles. Without the random part,
// operators who were in conflict once would meet again at each repeat.
func pause(ctx context.Context, attempt int) error {
	longest := min(firstPause<<min(attempt, 10), longestPause)
	timer := time.NewTimer(longest/2 + rand.N(longest/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// noEffect reports whether a failed write certainly had no effect. Any other
// error, a timeout among them, leaves that open.
func noEffect(err error) bool {
	return errors.Is(err, platform.ErrConflict) ||
		errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrRateLimited) ||
		errors.Is(err, platform.ErrNotFound)
}

// calls repeats calls to the platform.
type calls struct {
	api   platform.API
	retry RetryPolicy
}

// repeat runs attempt until it succeeds, reports a final error, the attempts
// are used up or the context ends.
func (c calls) repeat(ctx context.Context, attempt func() (final bool, err error)) error {
	var last error
	for count := range c.retry.MaxAttempts {
		if count > 0 && c.retry.Backoff(ctx, count) != nil {
			return last
		}
		final, err := attempt()
		if err == nil || final {
			return err
		}
		last = err
	}
	return last
}

// repeatCall is repeat for one call to the platform, with a time limit for each
// attempt: a platform that is slow must not use up the operator's patience with
// a single call.
func (c calls) repeatCall(ctx context.Context, call func(ctx context.Context) (final bool, err error)) error {
	return c.repeat(ctx, func() (bool, error) {
		callCtx, cancel := context.WithTimeout(ctx, c.retry.CallTimeout)
		defer cancel()
		return call(callCtx)
	})
}

// get reads an object that must exist. ErrNotFound is not final: a read may
// give the state from before the object was written.
func (c calls) get(ctx context.Context, key string) (platform.Object, error) {
	var found platform.Object
	err := c.repeatCall(ctx, func(ctx context.Context) (bool, error) {
		object, err := c.api.Get(ctx, key)
		found = object
		return false, err
	})
	return found, errors.WithMessage(err, key)
}

// create writes an object that never changes. It reports whether an object was
// there already, which may be the one that an attempt without a reply wrote.
func (c calls) create(ctx context.Context, key string, data []byte) (existed bool, err error) {
	err = c.repeatCall(ctx, func(ctx context.Context) (bool, error) {
		_, err := c.api.Put(ctx, key, data, 0)
		existed = errors.Is(err, platform.ErrConflict)
		return existed, err
	})
	if existed {
		return true, nil
	}
	return false, errors.WithMessage(err, key)
}
