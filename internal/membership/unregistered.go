package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// unregisteredTTL is the time for which a node is kept after its last
// introduction. It is several times what a node needs to introduce itself to a
// large fleet.
const unregisteredTTL = 10 * time.Minute

// unregisteredNode is a node that introduced itself to its peers because it
// cannot register on the platform. VMs are also replaced while the platform is
// down; without introductions, new ones would stay idle for the whole outage.
type unregisteredNode struct {
	record    Record
	expiresAt time.Time
	revision  platform.Version // of the directory when the node introduced itself
}

// Introduce adds a node that currently cannot register on the platform. Any
// newer change of that address in the directory takes precedence.
func (t *Tracker) Introduce(record Record, now time.Time) {
	if record.Control == "" || record.Deleted {
		return
	}
	revision := platform.Version(t.directory.Revision())
	t.mu.Lock()
	known := t.unregistered.Get(record.Control)
	if known == nil || known.record.Incarnation <= record.Incarnation {
		t.unregistered.Put(record.Control, &unregisteredNode{record: record, expiresAt: now.Add(unregisteredTTL), revision: revision})
	}
	changed := known == nil || known.record != record
	t.mu.Unlock()
	if changed {
		t.Refresh(now)
	}
}

// pruneUnregistered removes the unregistered nodes that have expired or that
// the directory knows by now, and returns the others, ordered by address.
func (t *Tracker) pruneUnregistered(listed map[fleet.Address]bool, now time.Time) []Record {
	var records []Record
	t.unregistered.Each(func(control fleet.Address, node *unregisteredNode) {
		superseded := t.directory.changedSince(control, node.revision)
		if listed[control] || superseded || !now.Before(node.expiresAt) {
			t.unregistered.Delete(control)
			return
		}
		records = append(records, node.record)
	})
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Control, b.Control) })
	return records
}
