package settings

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// commit updates the head under the condition that it still is the base. It
// reports false when the edit lost the race and certainly has had no effect.
//
// What goes wrong here: the reply is lost after the update took effect, and the
// operator is told that the edit failed while the fleet follows it. So after a
// lost reply the same update is sent again. Its condition lets at most one of
// the two take effect, and the second one's reply settles the first: success,
// or a conflict after which the history tells whose edit has the revision.
func (s *submission) commit(ctx context.Context, base Snapshot, next *proposal) (Result, bool) {
	uncertain := false
	var last error
	for attempt := range s.reader.retry.MaxAttempts {
		if attempt > 0 && s.reader.retry.Backoff(ctx, attempt) != nil {
			break
		}
		err := s.update(ctx, base, next)
		switch {
		case err == nil:
			s.collect(ctx, next)
			return s.accepted(next.record), true
		case errors.Is(err, platform.ErrConflict) && !uncertain:
			return Result{}, false
		case errors.Is(err, platform.ErrConflict):
			return s.settle(ctx, base, next)
		case !noEffect(err):
			uncertain = true
		}
		last = err
	}
	if !uncertain {
		s.discard(ctx, next)
		return s.notAccepted(fleet.Wrap(last, fleet.StepUpdate, "")), true
	}
	return s.settle(ctx, base, next)
}

func (s *submission) update(ctx context.Context, base Snapshot, next *proposal) error {
	callCtx, cancel := context.WithTimeout(ctx, s.reader.retry.CallTimeout)
	defer cancel()
	_, err := s.reader.api.Put(callCtx, HeadKey, next.head, base.Version)
	return err
}

// settle reads back whose edit followed the base. As long as the head is still
// the base, an update on its way could yet take effect, so nothing is certain.
func (s *submission) settle(ctx context.Context, base Snapshot, next *proposal) (Result, bool) {
	head, _, err := s.reader.ReadHead(ctx, base.Version+1)
	if err != nil {
		return s.unknown(next, fleet.Wrap(err, fleet.StepReply, "")), true
	}
	outcome, record, err := s.reader.outcomeIn(ctx, head, s.id, next.record.Revision)
	switch {
	case err != nil || outcome == OutcomeUnknown:
		return s.unknown(next, fleet.Wrap(err, fleet.StepReply, "")), true
	case outcome == OutcomeAccepted:
		return s.accepted(record), true
	default:
		return Result{}, false
	}
}
