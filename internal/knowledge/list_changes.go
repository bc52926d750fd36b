package knowledge

import (
	"maps"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// ListChanges lead from the list of backend servers at position Since to that at UpTo. They
// may include entries that did not change in between, and applying them is idempotent.
type ListChanges struct {
	Since, UpTo Position
	Changed     []Backend // the newest entries
	Removed     []string  // IDs of removed or missing backend servers
}

// ChangesSince returns the changes of the list since the position, or false if the view
// does not cover them and the complete list is needed. No change log is required: each
// entry has the position of its last change, and removals are remembered for longer than
// any router that receives heartbeats can be behind.
func (v *View) ChangesSince(since Position) (ListChanges, bool) {
	if v.ListConfirmedAt == 0 || since.Era != v.Position.Era || since.Before(v.removalsSince) || v.Position.Before(since) {
		return ListChanges{}, false
	}
	changes := ListChanges{Since: since, UpTo: v.Position}
	for id, backend := range v.Backends {
		if _, missing := v.MissingSince[id]; missing {
			changes.Removed = append(changes.Removed, id)
			continue
		}
		if since.Before(backend.Position) {
			changes.Changed = append(changes.Changed, *backend)
		}
	}
	for id, removed := range v.removed {
		if since.Before(removed.upTo) {
			changes.Removed = append(changes.Removed, id)
		}
	}
	return changes, true
}

// ApplyListChanges applies changes received from another router, whose list was complete at
// confirmedAt. It returns false if they do not continue the current list.
func (s *State) ApplyListChanges(changes ListChanges, confirmedAt boottime.Instant) bool {
	applied := false
	s.update(func(view *View) bool {
		known := view.Position
		if view.ListConfirmedAt == 0 || changes.UpTo.Era != known.Era || known.Before(changes.Since) || changes.UpTo.Before(known) {
			return false
		}
		applied = true
		now := boottime.Now()
		listed, missingSince := view.mergeChanges(changes, view.mayBeIncomplete(changes.UpTo, confirmedAt), now)
		return view.replaceList(listed, missingSince, changes.UpTo, confirmedAt, now)
	})
	return applied
}

// mergeChanges returns the list with the changes applied, as mergeList does for a complete
// list.
func (v *View) mergeChanges(changes ListChanges, incomplete bool, now boottime.Instant) (map[string]*Backend, map[string]boottime.Instant) {
	listed := maps.Clone(v.Backends)
	missing := make(map[string]bool, len(v.MissingSince)+len(changes.Removed))
	for id := range v.MissingSince {
		missing[id] = true
	}
	for _, id := range changes.Removed {
		missing[id] = v.Backends[id] != nil
	}
	for i := range changes.Changed {
		entry := &changes.Changed[i]
		if v.isRemoved(entry, now) {
			continue
		}
		listed[entry.ID] = v.newerEntry(v.Backends[entry.ID], entry, now)
		missing[entry.ID] = false
	}
	missingSince := make(map[string]boottime.Instant)
	for id, isMissing := range missing {
		if !isMissing {
			continue
		}
		if since, retained := v.retainMissing(id, incomplete, now); retained {
			missingSince[id] = since
			continue
		}
		delete(listed, id)
	}
	return listed, missingSince
}
