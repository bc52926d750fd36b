package settings

import (
	"context"

	"github.com/pkg/errors"
)

// discardChunks deletes the chunks of a proposal that wasn't accepted. Chunks
// that it fails to delete are left to CollectGarbage.
func (s *submission) discardChunks(ctx context.Context, rejected *proposal) {
	for _, object := range rejected.chunks {
		found, err := s.reader.api.Get(ctx, object.key)
		if err != nil {
			continue
		}
		_ = s.reader.api.Delete(ctx, object.key, found.Version)
	}
}

// collectGarbage runs CollectGarbage after every collectInterval-th accepted edit.
func (s *submission) collectGarbage(ctx context.Context, accepted *proposal) {
	if accepted.record.Revision%s.reader.limits.collectInterval != 0 {
		return
	}
	var head Head
	if decode(accepted.head, &head) != nil {
		return
	}
	// A failure only costs storage; the next run finds the same chunks.
	_, _ = s.reader.CollectGarbage(ctx, &head)
}

// CollectGarbage deletes chunk objects that no present or future head refers to,
// and returns how many. Deleting a referenced chunk would lose a part of the
// tree. A chunk is written for one revision, and only the head of that revision
// can be the first to refer to it. So a chunk of a revision up to that of head
// that head doesn't refer to will never be used again, even if head is stale.
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
		if err != nil || used[object.Key] || revision+r.limits.chunkRetention > head.Revision {
			continue
		}
		if err := r.api.Delete(ctx, object.Key, object.Version); err != nil {
			return removed, errors.WithMessage(err, object.Key)
		}
		removed++
	}
	return removed, nil
}
