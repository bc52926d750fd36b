package settings

import (
	"context"

	"github.com/pkg/errors"
)

// discard removes the chunks of a proposal that lost its race. What remains
// after a failure is found by collect.
func (s *submission) discard(ctx context.Context, lost *proposal) {
	for _, object := range lost.written {
		found, err := s.reader.api.Get(ctx, object.key)
		if err != nil {
			continue
		}
		_ = s.reader.api.Delete(ctx, object.key, found.Version)
	}
}

// collect removes unreferenced chunks now and then, after an accepted edit.
func (s *submission) collect(ctx context.Context, accepted *proposal) {
	if accepted.record.Revision%s.reader.limits.collectEvery != 0 {
		return
	}
	var head Head
	if decode(accepted.head, &head) != nil {
		return
	}
	// A failure costs space only; the next search finds the same chunks.
	_, _ = s.reader.CollectGarbage(ctx, &head)
}

// CollectGarbage removes chunk objects that no head refers to nor ever will, and
// returns how many. Removing one too many would lose a part of the tree: a
// chunk is made for one revision, and only the head of that revision can take
// it up. So a chunk of a revision that head has passed, and that head does not
// refer to, is out of use for good, also when head itself is out of date.
func (r *Reader) CollectGarbage(ctx context.Context, head *Head) (int, error) {
	objects, _, err := r.api.List(ctx, ChunkPrefix)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	used := make(map[string]bool, len(head.Chunks))
	for _, ref := range head.Chunks {
		used[ref.Key] = true
	}
	removed := 0
	for _, object := range objects {
		revision, err := chunkRevision(object.Key)
		if err != nil || used[object.Key] || revision+r.limits.keepChunks > head.Revision {
			continue
		}
		if err := r.api.Delete(ctx, object.Key, object.Version); err != nil {
			return removed, errors.WithMessage(err, object.Key)
		}
		removed++
	}
	return removed, nil
}
