package platform

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Watch implements API. If the wait ends without a change, it returns no
// changes and the version up to which there were none.
func (s *Store) Watch(ctx context.Context, prefix string, from Version, wait time.Duration) ([]Change, Version, error) {
	if err := s.admit(ctx, CallWatch); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, upTo, changed, err := s.changesSince(prefix, from)
		if err != nil || len(changes) > 0 {
			return changes, upTo, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, upTo, nil
		case <-ctx.Done():
			return nil, from, errors.WithStack(ctx.Err())
		}
	}
}

// changesSince returns the changes under prefix after version from, the
// version up to which they are complete, and a channel that is closed at the
// next change of any kind.
func (s *Store) changesSince(prefix string, from Version) ([]Change, Version, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return nil, from, nil, errors.WithStack(ErrUnavailable)
	}
	if from < s.compactedTo {
		return nil, from, nil, errors.WithStack(ErrCompacted)
	}
	var changes []Change
	for _, change := range s.history {
		if change.Object.Version <= from || change.Object.Version > s.readVersion() {
			continue
		}
		if strings.HasPrefix(change.Object.Key, prefix) {
			changes = append(changes, Change{Object: clone(change.Object), Deleted: change.Deleted})
		}
	}
	return changes, max(from, s.readVersion()), s.changed, nil
}
