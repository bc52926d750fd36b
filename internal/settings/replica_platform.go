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

// loadAttempts is how often Load reads again when the tree changes under it.
// Whoever calls Load repeats it after errors of the platform.
const loadAttempts = 2

// WatchPrefix implements spread.Replica: the head changes with each edit.
func (r *Replica) WatchPrefix() string { return HeadKey }

// Load implements spread.Replica. It costs one read when the head still has the
// edits that are missing here, and one more for the head and each chunk
// otherwise.
//
// The head is listed, not got: the head's own version may lie so far back that
// a watch from there is refused, while the version of a list is that of now.
func (r *Replica) Load(ctx context.Context, api platform.API) (platform.Version, error) {
	objects, at, err := api.List(ctx, HeadKey)
	if err != nil {
		return 0, fleet.Wrap(err, fleet.StepWatch, "")
	}
	for _, object := range objects {
		if object.Key != HeadKey {
			continue
		}
		if err := r.takeObject(ctx, api, object); err != nil {
			return 0, err
		}
	}
	return at, nil
}

// ApplyChanges implements spread.Replica. A watch returns the head itself, so that no
// further read is needed when the node is only a little behind.
func (r *Replica) ApplyChanges(ctx context.Context, api platform.API, changes []platform.Change) error {
	for _, change := range changes {
		if change.Object.Key != HeadKey || change.Deleted {
			continue
		}
		if err := r.takeObject(ctx, api, change.Object); err != nil {
			return err
		}
	}
	return nil
}

// takeObject takes in a head object, and reads the tree when that is needed.
func (r *Replica) takeObject(ctx context.Context, api platform.API, object platform.Object) error {
	head := &Head{}
	if err := decode(object.Data, head); err != nil {
		return fleet.Wrap(err, fleet.StepWatch, "")
	}
	if err := head.check(); err != nil {
		return fleet.Wrap(err, fleet.StepWatch, "")
	}
	if r.takeHead(head) {
		return nil
	}
	snapshot, err := loadReader(api).Read(ctx, object.Version)
	if err != nil {
		return fleet.Wrap(err, fleet.StepWatch, "")
	}
	r.takeTree(snapshot.Tree)
	return nil
}

// takeHead takes the edits from a head. It reports false when the whole tree
// has to be read: the head no longer has all edits that are missing here, or an
// edit holds an operation that only a newer version of the program knows.
func (r *Replica) takeHead(head *Head) bool {
	records, ok := head.since(r.Revision())
	if !ok {
		return false
	}
	_, err := r.takeEdits(lo.Map(records, func(record Record, _ int) editDelta { return newEditDelta(record) }))
	return err == nil
}

func loadReader(api platform.API) *Reader {
	retry := DefaultRetryPolicy()
	retry.MaxAttempts = loadAttempts
	retry.Backoff = func(ctx context.Context, _ int) error { return errors.WithStack(ctx.Err()) }
	return NewReader(api, retry)
}
