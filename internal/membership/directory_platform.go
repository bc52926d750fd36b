package membership

import (
	"context"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// WatchPrefix implements spread.Replica.
func (d *Directory) WatchPrefix() string { return platform.NodePrefix }

// Load implements spread.Replica. It lists the nodes' objects.
func (d *Directory) Load(ctx context.Context, api platform.API) (platform.Version, error) {
	objects, at, err := api.List(ctx, platform.NodePrefix)
	if err != nil {
		return 0, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// A stale read gives a list from before what is known. To take it would
	// bring back nodes that are gone and lose the newest ones.
	if at < d.revision {
		return d.revision, nil
	}
	listed := make(map[fleet.Address]bool, len(objects))
	for _, object := range objects {
		listed[controlOf(object.Key)] = true
		d.putObject(object)
	}
	d.deleteAbsent(func(control fleet.Address) bool { return listed[control] }, at)
	d.advance()
	// The list also tells that nodes are gone which this directory has never
	// known. Without the revision of the list, a peer that still has such a
	// node would seem to be ahead and would keep it for good.
	d.revision = at
	d.forgotten = at
	return at, nil
}

// ApplyChanges implements spread.Replica.
func (d *Directory) ApplyChanges(_ context.Context, _ platform.API, changes []platform.Change) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range changes {
		if change.Deleted {
			control := controlOf(change.Object.Key)
			d.put(Record{Node: fleet.Node{Control: control}, Version: change.Object.Version, Deleted: true})
			continue
		}
		d.putObject(change.Object)
	}
	d.advance()
	return nil
}

// putObject takes in an object; one that cannot be read counts as deleted, so
// that a single bad object stops neither the list nor its revision.
func (d *Directory) putObject(object platform.Object) {
	record, err := decodeRecord(object)
	if err != nil {
		record = Record{Node: fleet.Node{Control: controlOf(object.Key)}, Version: object.Version, Deleted: true}
	}
	d.put(record)
}
