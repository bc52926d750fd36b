package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// guestLife is for how long a node is kept after its last introduction. It is
// several times what a node needs to introduce itself to a large fleet.
const guestLife = 10 * time.Minute

// guest is a node that has introduced itself because it cannot register. While
// the platform is down VMs are still replaced; without guests the new ones
// would stay idle for the whole outage.
type guest struct {
	record   Record
	until    time.Time
	revision platform.Version // of the directory at the introduction
}

// Introduce takes in a node that cannot register on the platform for now. The
// directory goes before it as soon as it has any newer word of the address.
func (t *Tracker) Introduce(record Record, now time.Time) {
	if record.Control == "" || record.Deleted {
		return
	}
	revision := platform.Version(t.directory.Revision())
	t.mu.Lock()
	known := t.guests.Get(record.Control)
	if known == nil || known.record.Incarnation <= record.Incarnation {
		t.guests.Put(record.Control, &guest{record: record, until: now.Add(guestLife), revision: revision})
	}
	changed := known == nil || known.record != record
	t.mu.Unlock()
	if changed {
		t.Refresh(now)
	}
}

// present drops the guests that have gone or that the directory knows better,
// and returns the others, ordered by address.
func (t *Tracker) present(listed map[fleet.Address]bool, now time.Time) []Record {
	var records []Record
	t.guests.Each(func(control fleet.Address, known *guest) {
		gone := t.directory.changedSince(control, known.revision)
		if listed[control] || gone || !now.Before(known.until) {
			t.guests.Delete(control)
			return
		}
		records = append(records, known.record)
	})
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Control, b.Control) })
	return records
}
