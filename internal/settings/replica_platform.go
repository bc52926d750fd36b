package settings

import (
	"context"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/spread"
)

var _ spread.Replica = (*Replica)(nil)

// maxLoadAttempts limits the attempts of Load to read a tree that changes during
// the read. Callers of Load retry it after errors of the platform.
const maxLoadAttempts = 2

// WatchPrefix implements spread.Replica. Every edit changes the head.
func (r *Replica) WatchPrefix() string { return HeadKey }

// Load implements spread.Replica. It takes one read if the head still has all
// edits that the replica lacks; otherwise it also reads the head again and each
// chunk.
//
// Load lists the head instead of getting it: a watch from the head's own version
// may be rejected because that version is too old, while a list returns the
// platform's current version.
func (r *Replica) Load(ctx context.Context, api platform.API) (platform.Version, error) {
	objects, at, err := api.List(ctx, HeadKey)
	if err != nil {
		return 0, fleet.Wrap(err, fleet.StepWatch, "")
	}
	for _, object := range objects {
		if object.Key != HeadKey {
			continue
		}
		if err := r.applyHeadObject(ctx, api, object); err != nil {
			return 0, err
		}
	}
	return at, nil
}

// ApplyChanges implements spread.Replica. A watch returns the head itself, so no
// further read is needed if the node is only a little behind.
func (r *Replica) ApplyChanges(ctx context.Context, api platform.API, changes []platform.Change) error {
	for _, change := range changes {
		if change.Object.Key != HeadKey || change.Deleted {
			continue
		}
		if err := r.applyHeadObject(ctx, api, change.Object); err != nil {
			return err
		}
	}
	return nil
}

// applyHeadObject decodes and applies a head object. If the edits in the head are
// not sufficient, it reads the complete tree.
func (r *Replica) applyHeadObject(ctx context.Context, api platform.API, object platform.Object) error {
	head := &Head{}
	if err := decode(object.Data, head); err != nil {
		return fleet.Wrap(err, fleet.StepWatch, "")
	}
	if err := head.check(); err != nil {
		return fleet.Wrap(err, fleet.StepWatch, "")
	}
	if r.applyHead(head) {
		return nil
	}
	snapshot, err := newLoadReader(api).Read(ctx, object.Version)
	if err != nil {
		return fleet.Wrap(err, fleet.StepWatch, "")
	}
	r.installTree(snapshot.Tree)
	return nil
}

// applyHead applies the edits of a head. It returns false if the complete tree has
// to be read: the head no longer has all edits that the replica lacks, or one of
// them contains an operation that only a newer version of the program knows.
func (r *Replica) applyHead(head *Head) bool {
	records, ok := head.editsSince(r.Revision())
	if !ok {
		return false
	}
	_, err := r.applyEdits(lo.Map(records, func(record Record, _ int) editDelta { return newEditDelta(record) }))
	return err == nil
}

func newLoadReader(api platform.API) *Reader {
	retry := DefaultRetryPolicy()
	retry.MaxAttempts = maxLoadAttempts
	retry.Backoff = func(ctx context.Context, _ int) error { return errors.WithStack(ctx.Err()) }
	return NewReader(api, retry)
}
