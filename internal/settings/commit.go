package settings

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// commit replaces the head on the condition that it is still that of base. It
// returns false when another edit came first and this one certainly had no
// effect.
//
// If the reply to an update that took effect is lost, the operator must not be
// told that the edit failed. So after a lost reply commit sends the same update
// again. Its condition lets at most one of the two take effect, and the reply to
// the second resolves the first: success, or a conflict, after which the history
// shows whose edit has the revision.
func (s *submission) commit(ctx context.Context, base Snapshot, next *proposal) (Result, bool) {
	uncertain := false
	var lastErr error
	for attempt := range s.reader.retry.MaxAttempts {
		if attempt > 0 && s.reader.retry.Backoff(ctx, attempt) != nil {
			break
		}
		err := s.update(ctx, base, next)
		switch {
		case err == nil:
			s.collectGarbage(ctx, next)
			return s.accepted(next.record), true
		case errors.Is(err, platform.ErrConflict) && !uncertain:
			return Result{}, false
		case errors.Is(err, platform.ErrConflict):
			return s.resolveOutcome(ctx, base, next)
		case !hadNoEffect(err):
			uncertain = true
		}
		lastErr = err
	}
	if !uncertain {
		s.discardChunks(ctx, next)
		return s.notAccepted(fleet.Wrap(lastErr, fleet.StepUpdate, "")), true
	}
	return s.resolveOutcome(ctx, base, next)
}

func (s *submission) update(ctx context.Context, base Snapshot, next *proposal) error {
	callCtx, cancel := context.WithTimeout(ctx, s.reader.retry.CallTimeout)
	defer cancel()
	_, err := s.reader.api.Put(callCtx, HeadKey, next.head, base.Version)
	return err
}

// resolveOutcome reads which edit followed the base. While the head is still that
// of the base, an update in flight may yet take effect, so the outcome is unknown.
func (s *submission) resolveOutcome(ctx context.Context, base Snapshot, next *proposal) (Result, bool) {
	head, _, err := s.reader.ReadHead(ctx, base.Version+1)
	if err != nil {
		return s.unknown(next, fleet.Wrap(err, fleet.StepReply, "")), true
	}
	outcome, record, err := s.reader.outcomeAt(ctx, head, s.id, next.record.Revision)
	switch {
	case err != nil || outcome == OutcomeUnknown:
		return s.unknown(next, fleet.Wrap(err, fleet.StepReply, "")), true
	case outcome == OutcomeAccepted:
		return s.accepted(record), true
	default:
		return Result{}, false
	}
}
