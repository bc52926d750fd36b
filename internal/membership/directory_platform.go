package membership

import (
	"context"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// WatchPrefix implements spread.Replica.
func (d *Directory) WatchPrefix() string { return platform.NodePrefix }

// Load implements spread.Replica by listing the nodes' objects.
func (d *Directory) Load(ctx context.Context, api platform.API) (platform.Version, error) {
	objects, at, err := api.List(ctx, platform.NodePrefix)
	if err != nil {
		return 0, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// A stale read returns a list older than the known state. Applying it would
	// restore deleted nodes and lose the newest ones.
	if at < d.revision {
		return d.revision, nil
	}
	listed := make(map[fleet.Address]bool, len(objects))
	for _, object := range objects {
		listed[controlOf(object.Key)] = true
		d.mergeObject(object)
	}
	d.deleteAbsent(func(control fleet.Address) bool { return listed[control] }, at)
	d.advanceRevision()
	// The list also implies the deletion of nodes that this directory has never
	// seen. Unless its revision rises to that of the list, a peer that still
	// has such a node would appear to be ahead and would keep it permanently.
	d.revision = at
	d.deletionsPrunedTo = at
	return at, nil
}

// ApplyChanges implements spread.Replica.
func (d *Directory) ApplyChanges(_ context.Context, _ platform.API, changes []platform.Change) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range changes {
		if change.Deleted {
			control := controlOf(change.Object.Key)
			d.merge(Record{Node: fleet.Node{Control: control}, Version: change.Object.Version, Deleted: true})
			continue
		}
		d.mergeObject(change.Object)
	}
	d.advanceRevision()
	return nil
}

// mergeObject merges an object. One that cannot be decoded counts as deleted,
// so that a single invalid object blocks neither the list nor its revision.
func (d *Directory) mergeObject(object platform.Object) {
	record, err := decodeRecord(object)
	if err != nil {
		record = Record{Node: fleet.Node{Control: controlOf(object.Key)}, Version: object.Version, Deleted: true}
	}
	d.merge(record)
}
