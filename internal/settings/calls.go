package settings

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// RetryPolicy controls how calls to the platform are retried.
type RetryPolicy struct {
	MaxAttempts int                                          // of a call, or of an edit that loses to concurrent edits
	CallTimeout time.Duration                                // timeout of each attempt
	Backoff     func(ctx context.Context, attempt int) error // waits before a retry
}

// Values of DefaultRetryPolicy.
const (
	defaultAttempts    = 12
	defaultCallTimeout = 2 * time.Second
	initialBackoff     = 20 * time.Millisecond
	maxBackoff         = time.Second
)

// DefaultRetryPolicy retries for several seconds with exponential backoff.
func DefaultRetryPolicy() RetryPolicy {
	return RetryPolicy{MaxAttempts: defaultAttempts, CallTimeout: defaultCallTimeout, Backoff: backoff}
}

// backoff waits with exponential backoff and jitter. Without jitter, operators
// whose edits conflicted once would conflict again at every retry.
func backoff(ctx context.Context, attempt int) error {
	delay := min(initialBackoff<<min(attempt, 10), maxBackoff)
	timer := time.NewTimer(delay/2 + rand.N(delay/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// hadNoEffect reports whether a failed write certainly had no effect. After any
// other error, such as a timeout, the write may have taken effect.
func hadNoEffect(err error) bool {
	return errors.Is(err, platform.ErrConflict) ||
		errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrRateLimited) ||
		errors.Is(err, platform.ErrNotFound)
}

// retryingClient calls the platform API with retries.
type retryingClient struct {
	api   platform.API
	retry RetryPolicy
}

// retryLoop calls attempt until it succeeds or returns a final error, the
// attempts are used up or the context is done.
func (c retryingClient) retryLoop(ctx context.Context, attempt func() (final bool, err error)) error {
	var lastErr error
	for count := range c.retry.MaxAttempts {
		if count > 0 && c.retry.Backoff(ctx, count) != nil {
			return lastErr
		}
		final, err := attempt()
		if err == nil || final {
			return err
		}
		lastErr = err
	}
	return lastErr
}

// retryCall is retryLoop for one call to the platform, with a timeout for each
// attempt, so that a slow platform cannot use up the operator's time with a
// single attempt.
func (c retryingClient) retryCall(ctx context.Context, call func(ctx context.Context) (final bool, err error)) error {
	return c.retryLoop(ctx, func() (bool, error) {
		callCtx, cancel := context.WithTimeout(ctx, c.retry.CallTimeout)
		defer cancel()
		return call(callCtx)
	})
}

// get reads an object that must exist. It retries after ErrNotFound: a stale
// read may return the state from before the object was written.
func (c retryingClient) get(ctx context.Context, key string) (platform.Object, error) {
	var found platform.Object
	err := c.retryCall(ctx, func(ctx context.Context) (bool, error) {
		object, err := c.api.Get(ctx, key)
		found = object
		return false, err
	})
	return found, errors.WithMessage(err, key)
}

// create writes an immutable object. It reports whether the object existed
// already; an earlier attempt whose reply was lost may have written it.
func (c retryingClient) create(ctx context.Context, key string, data []byte) (existed bool, err error) {
	err = c.retryCall(ctx, func(ctx context.Context) (bool, error) {
		_, err := c.api.Put(ctx, key, data, 0)
		existed = errors.Is(err, platform.ErrConflict)
		return existed, err
	})
	if existed {
		return true, nil
	}
	return false, errors.WithMessage(err, key)
}
