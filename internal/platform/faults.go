package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Faults are the faults that a test can inject into a Store.
type Faults struct {
	// Down rejects every call with ErrUnavailable and ends waiting watches.
	Down bool
	// Delay is the time by which each call is delayed before it is processed.
	Delay time.Duration
	// LoseReplies is the number of subsequent writes that take effect but
	// return ErrOutcomeUnknown; a negative number applies to all writes.
	LoseReplies int
	// Stale makes reads return the state as of the time when the fault was set.
	Stale bool
}

// SetFaults replaces the current faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Stale && !s.faults.Stale {
		s.staleSnapshot = s.snapshot()
	}
	if !faults.Stale {
		s.staleSnapshot = nil
	}
	s.faults = faults
	s.wake()
}

// Faults returns the current faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// admit counts a call and applies the faults and rate limits that precede its
// effect.
func (s *Store) admit(ctx context.Context, call Call) error {
	s.mu.Lock()
	s.counts.add(call)
	faults := s.faults
	s.mu.Unlock()
	if faults.Down {
		return errors.WithStack(ErrUnavailable)
	}
	if err := s.limits.allow(call, s.now()); err != nil {
		return err
	}
	return sleepContext(ctx, faults.Delay)
}

// loseReply reports whether the reply to the current write is lost. The caller
// holds the lock.
func (s *Store) loseReply() bool {
	if s.faults.LoseReplies == 0 {
		return false
	}
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
	}
	return true
}

// sleepContext waits for the delay or the end of the context.
func sleepContext(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}
