package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Faults are the switches by which a test makes a Store misbehave.
type Faults struct {
	// Down refuses every call with ErrUnavailable and ends waiting watches.
	Down bool
	// Delay is the time by which each call is held before it is handled.
	Delay time.Duration
	// LoseReplies is the number of coming writes that take effect but answer
	// ErrOutcomeUnknown; a negative number loses all.
	LoseReplies int
	// Stale answers reads from the state at the moment the switch was set.
	Stale bool
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Stale && !s.faults.Stale {
		s.stale = s.snapshot()
	}
	if !faults.Stale {
		s.stale = nil
	}
	s.faults = faults
	s.wake()
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// enter counts a call and applies the faults and limits that precede its
// effect.
func (s *Store) enter(ctx context.Context, call Call) error {
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
	return pause(ctx, faults.Delay)
}

// loseReply tells whether the reply to the write in hand is lost. The caller
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

// pause waits for the delay or the end of the context.
func pause(ctx context.Context, delay time.Duration) error {
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
