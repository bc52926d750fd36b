package knowledge

import (
	"maps"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// lapseGrace is how long a backend server that is missing from the list after
// an outage of the store, or after it has come back from an older copy, still
// counts. Entries that lapsed or were lost come back within two seconds of its
// return; a request may still be sent well before the users' bound for servers
// that have left.
const lapseGrace = 1500 * time.Millisecond

// outageLeast is the least age of the list from which the next one counts as the first
// after an outage.
const outageLeast = 3 * time.Second

// SetListRefreshInterval tells by which age the list is renewed while the store answers. Where that
// is longer than the age at which an outage is assumed, each backend server that is lost
// would be taken for one whose entry may come back.
func (s *State) SetListRefreshInterval(age time.Duration) {
	s.update(func(view *View) bool {
		view.outageAge = max(age, outageLeast)
		return false
	})
}

// SetBackends takes a whole list that was complete at the moment confirmed. A
// list of an older position than the known one is ignored.
func (s *State) SetBackends(backends []Backend, at Position, confirmed boottime.Instant) {
	s.update(func(view *View) bool {
		if at.Before(view.Position) {
			return false
		}
		now := boottime.Now()
		wentBack := view.ListConfirmedAt != 0 && at.Era > view.Position.Era
		if wentBack {
			view.RestoredAt = now
		}
		if wentBack || view.ListConfirmedAt == 0 {
			view.tracedFrom = at
		}
		listed, absent := view.merge(backends, view.misses(at, confirmed), now)
		return view.replace(listed, absent, at, confirmed, now) || wentBack
	})
}

// misses tells whether backend servers that a list lacks may write their entries again: it
// is the first one after an outage, or since the store came back from an older copy.
func (v *View) misses(at Position, confirmed boottime.Instant) bool {
	return v.ListConfirmedAt != 0 && (at.Era > v.Position.Era || confirmed.Sub(v.ListConfirmedAt) > v.outageAge)
}

// replace takes the list as it was at the position, complete at the moment confirmed. It
// returns whether the list changed.
func (v *View) replace(listed map[string]*Backend, absent map[string]boottime.Instant, at Position, confirmed, now boottime.Instant) bool {
	before := v.Backends
	changed := !sameBackends(before, listed)
	if changed {
		v.setBackends(listed)
		v.noteRemovals(before, at, now)
	}
	v.MissingSince = absent
	v.Position = at
	v.ListConfirmedAt = max(v.ListConfirmedAt, confirmed)
	return changed
}

// merge returns the list as it is now that these backend servers were told, with those
// that are kept though they are missing and since when. misses tells that known ones
// may be missing for a moment.
func (v *View) merge(told []Backend, misses bool, now boottime.Instant) (map[string]*Backend, map[string]boottime.Instant) {
	listed := make(map[string]*Backend, len(told))
	for i := range told {
		if v.revived(&told[i], now) {
			continue
		}
		listed[told[i].ID] = v.newest(v.Backends[told[i].ID], &told[i], now)
	}
	absent := make(map[string]boottime.Instant)
	for id, known := range v.Backends {
		if listed[id] != nil {
			continue
		}
		if since, kept := v.keptMissing(id, misses, now); kept {
			absent[id] = since
			listed[id] = known
		}
	}
	return listed, absent
}

// keptMissing tells whether a known backend server that is missing still counts, and
// since when it is missed.
func (v *View) keptMissing(id string, misses bool, now boottime.Instant) (since boottime.Instant, kept bool) {
	since, missed := v.MissingSince[id]
	if !missed && !misses {
		return 0, false
	}
	if !missed {
		since = now
	}
	return since, now.Sub(since) < lapseGrace
}

// BackendChange is a change of the list of backend servers.
type BackendChange struct {
	ID    string
	Entry *Backend // the newest entry, nil for one that was removed
}

// ApplyBackendChanges takes changes in their order, which are all up to the position. They are
// taken together, because each new view costs as much as the list is long, and a zone that
// comes back brings thousands of changes.
func (s *State) ApplyBackendChanges(changes []BackendChange, upTo Position) {
	s.update(func(view *View) bool {
		if view.ListConfirmedAt == 0 || upTo.Era < view.Position.Era {
			return false // changes of what the store has lost say nothing of what it has
		}
		now := boottime.Now()
		before := view.Backends
		backends := view.changed(changes, now)
		view.Position = Newest(view.Position, upTo)
		if backends == nil {
			return false
		}
		view.setBackends(backends)
		view.noteRemovals(before, upTo, now)
		return true
	})
}

// changed returns the list with the changes, nil if they change nothing.
func (v *View) changed(changes []BackendChange, now boottime.Instant) map[string]*Backend {
	var backends map[string]*Backend
	for _, change := range changes {
		entry := change.Entry
		if entry != nil && (!v.Position.Before(entry.Position) || v.revived(entry, now)) {
			continue
		}
		if entry == nil && v.Backends[change.ID] == nil && backends[change.ID] == nil {
			continue
		}
		if backends == nil {
			backends = maps.Clone(v.Backends)
		}
		if entry == nil {
			delete(backends, change.ID)
			continue
		}
		backends[change.ID] = v.newest(backends[change.ID], entry, now)
	}
	return backends
}

// ConfirmBackends tells that another router's list with the digest was complete
// at the moment.
func (s *State) ConfirmBackends(digest uint64, confirmed boottime.Instant) {
	s.update(func(view *View) bool {
		if view.ListConfirmedAt != 0 && view.Digest == digest && len(view.MissingSince) == 0 {
			view.ListConfirmedAt = max(view.ListConfirmedAt, confirmed)
		}
		return false
	})
}
