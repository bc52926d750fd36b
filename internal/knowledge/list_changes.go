package knowledge

import (
	"maps"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// ListChanges lead from the list of backend servers at one position to that at another.
// They may tell more than has changed between the two: taken twice, they do no harm.
type ListChanges struct {
	Since, UpTo Position
	Changed     []Backend // the newest entries
	Removed     []string  // IDs of those that are not listed any more
}

// ChangesSince returns how the list has changed since the position. It returns false where
// the view can't tell, so that the whole list must be taken. No log of changes is needed:
// each entry bears the position of its last change, and removals are remembered for
// longer than any router is behind that hears others.
func (v *View) ChangesSince(since Position) (ListChanges, bool) {
	if v.ListConfirmedAt == 0 || since.Era != v.Position.Era || since.Before(v.tracedFrom) || v.Position.Before(since) {
		return ListChanges{}, false
	}
	changes := ListChanges{Since: since, UpTo: v.Position}
	for id, backend := range v.Backends {
		if _, absent := v.MissingSince[id]; absent {
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

// ApplyListChanges takes changes that another router told, whose list was complete at the
// moment confirmed. It returns false where they don't lead on from the known list.
func (s *State) ApplyListChanges(told ListChanges, confirmed boottime.Instant) bool {
	taken := false
	s.update(func(view *View) bool {
		known := view.Position
		if view.ListConfirmedAt == 0 || told.UpTo.Era != known.Era || known.Before(told.Since) || told.UpTo.Before(known) {
			return false
		}
		taken = true
		now := boottime.Now()
		listed, absent := view.patch(told, view.misses(told.UpTo, confirmed), now)
		return view.replace(listed, absent, told.UpTo, confirmed, now)
	})
	return taken
}

// patch returns the list with the changes, as merge does for a whole list.
func (v *View) patch(told ListChanges, misses bool, now boottime.Instant) (map[string]*Backend, map[string]boottime.Instant) {
	listed := maps.Clone(v.Backends)
	missing := make(map[string]bool, len(v.MissingSince)+len(told.Removed))
	for id := range v.MissingSince {
		missing[id] = true
	}
	for _, id := range told.Removed {
		missing[id] = v.Backends[id] != nil
	}
	for i := range told.Changed {
		entry := &told.Changed[i]
		if v.revived(entry, now) {
			continue
		}
		listed[entry.ID] = v.newest(v.Backends[entry.ID], entry, now)
		missing[entry.ID] = false
	}
	absent := make(map[string]boottime.Instant)
	for id, isMissing := range missing {
		if !isMissing {
			continue
		}
		if since, kept := v.keptMissing(id, misses, now); kept {
			absent[id] = since
			continue
		}
		delete(listed, id)
	}
	return listed, absent
}
