package membership

import (
	"cmp"
	"slices"
	"sync"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/tick"
)

// maxTombstones is the number of records of deleted nodes that a directory
// retains.
const maxTombstones = 512

// Directory is a replica of the nodes' objects on the platform. It is complete
// up to its revision, which is the platform's version of the last change of any
// record or of the last list. It is safe for concurrent use.
type Directory struct {
	mu       sync.Mutex
	records  *tick.Table[fleet.Address, Record]
	revision platform.Version
	// deletionsPrunedTo is the version up to which tombstones may have been
	// pruned. A peer at an older revision must be sent the set of all existing
	// nodes.
	deletionsPrunedTo platform.Version
}

// NewDirectory returns an empty directory at revision 0.
func NewDirectory() *Directory {
	return &Directory{records: tick.NewTable[fleet.Address, Record]()}
}

// Revision returns the platform's version of the last known change.
func (d *Directory) Revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return uint64(d.revision)
}

// Records returns the records that are not deleted, ordered by address, and
// the revision at which they are complete.
func (d *Directory) Records() ([]Record, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.matching(func(record *Record) bool { return !record.Deleted }), uint64(d.revision)
}

// Record returns the record of a node unless it is deleted or unknown.
func (d *Directory) Record(control fleet.Address) (Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.records.Get(control)
	if record == nil || record.Deleted {
		return Record{}, false
	}
	return *record, true
}

// changedSince reports whether the directory has a change of the node,
// including its deletion, newer than the version.
func (d *Directory) changedSince(control fleet.Address, version platform.Version) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.records.Get(control)
	return record != nil && record.Version > version
}

// matching returns the records that keep selects, ordered by address.
func (d *Directory) matching(keep func(record *Record) bool) []Record {
	var records []Record
	d.records.Each(func(_ fleet.Address, record *Record) {
		if keep(record) {
			records = append(records, *record)
		}
	})
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Control, b.Control) })
	return records
}

// merge stores a record unless a newer one of the node is known. Changes reach
// a node by several paths and in any order, so the version decides.
func (d *Directory) merge(record Record) {
	known := d.records.Get(record.Control)
	if known != nil && known.Version >= record.Version {
		return
	}
	d.records.Put(record.Control, &record)
}

// deleteAbsent marks the records as deleted for which exists returns false, as
// of the version at.
func (d *Directory) deleteAbsent(exists func(control fleet.Address) bool, at platform.Version) {
	d.records.Each(func(control fleet.Address, record *Record) {
		if record.Deleted || exists(control) {
			return
		}
		*record = Record{Node: fleet.Node{Control: control}, Version: at, Deleted: true}
	})
}

// advanceRevision raises the revision to that of the newest record and prunes
// the oldest tombstones above maxTombstones.
func (d *Directory) advanceRevision() {
	d.records.Each(func(_ fleet.Address, record *Record) {
		d.revision = max(d.revision, record.Version)
	})
	deleted := d.matching(func(record *Record) bool { return record.Deleted })
	if len(deleted) <= maxTombstones {
		return
	}
	slices.SortFunc(deleted, func(a, b Record) int { return cmp.Compare(a.Version, b.Version) })
	for _, record := range deleted[:len(deleted)-maxTombstones] {
		d.deletionsPrunedTo = max(d.deletionsPrunedTo, record.Version)
		d.records.Delete(record.Control)
	}
}
