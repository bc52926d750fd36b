package knowledge

import (
	"maps"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// missingGrace is how long a backend server that is missing from the list stays in use
// after an outage of the store, or after the store was restored from an older copy. Entries
// that expired or were lost are written again within two seconds of the store's return. The
// grace stays well below the time within which routers must stop sending requests to
// removed servers.
const missingGrace = 1500 * time.Millisecond

// rewriteTime is how long after the return of the store an entry may still be that of a process from
// before: a backend server that started meanwhile writes its own within about two seconds.
const rewriteTime = 2500 * time.Millisecond

// minOutageAge is the lower bound of View.outageAge, the age of the list from which the
// next one counts as the first after an outage of the store.
const minOutageAge = 3 * time.Second

// SetListRefreshInterval sets the maximum age that the list reaches while the store answers.
// An outage is assumed only if the list is older than that. Otherwise every list would count
// as the first after an outage, and each removed backend server would be retained for
// missingGrace in case its entry is written again.
func (s *State) SetListRefreshInterval(interval time.Duration) {
	s.update(func(view *View) bool {
		view.outageAge = max(interval, minOutageAge)
		return false
	})
}

// SetUsualListAge sets the age that the list seldom exceeds while the store answers.
func (s *State) SetUsualListAge(age time.Duration) {
	s.update(func(view *View) bool {
		view.usualAge = min(age, view.outageAge)
		return false
	})
}

// SetBackends applies a list that was known to be complete at confirmedAt. A list of an
// older position than the current one is ignored.
func (s *State) SetBackends(backends []Backend, at Position, confirmedAt boottime.Instant) {
	s.update(func(view *View) bool {
		if at.Before(view.Position) {
			return false
		}
		now := boottime.Now()
		restored := view.ListConfirmedAt != 0 && at.Era > view.Position.Era
		if restored {
			view.RestoredAt = now
		}
		if restored || view.ListConfirmedAt == 0 {
			view.removalsSince = at
		}
		listed, missingSince := view.mergeList(backends, view.mayBeIncomplete(at, confirmedAt), now)
		return view.replaceList(listed, missingSince, at, confirmedAt, now) || restored
	})
}

// ListOverdue reports whether the list is older than usual, so that the store may be unreachable.
func (v *View) ListOverdue(now boottime.Instant) bool {
	return now.Sub(v.ListConfirmedAt) > v.usualAge
}

// noteOutage is called before a list that was complete at confirmedAt, and is known at now, replaces or
// confirms the current one. The store may have come back as late as now, as the call for the list may
// have waited for that. While entries are being written again, a shorter time without a list than
// otherwise shows that the store may have been away once more; it is longer than routers that can't
// list delay the others, as the entries would else never count again.
func (v *View) noteOutage(confirmedAt, now boottime.Instant) {
	rewriting := v.ListConfirmedAt < v.rewrittenAt
	outage := confirmedAt.Sub(v.ListConfirmedAt) > v.outageAge
	again := rewriting && now.Sub(v.ListConfirmedAt) > (v.usualAge+v.outageAge)/2
	if v.ListConfirmedAt == 0 || !outage && !again {
		return
	}
	if !rewriting {
		v.listedBeforeOutage = v.ListConfirmedAt
	}
	v.rewrittenAt = now.Add(rewriteTime)
}

// ProcessesListedAt returns as of when the processes at all addresses are known, 0 while the list
// tells. It does not while it is overdue, nor just after an outage of the store, when entries of
// processes that have ended may not have been replaced yet.
func (v *View) ProcessesListedAt(now boottime.Instant) boottime.Instant {
	switch {
	case v.ListConfirmedAt < v.rewrittenAt:
		return v.listedBeforeOutage
	case v.ListOverdue(now):
		return v.ListConfirmedAt
	}
	return 0
}

// ListNeededAt returns when the next list is needed while entries may not have been written again after
// an outage of the store, 0 once they have been: soon enough that no other outage is assumed, and when
// the list tells all processes again.
func (v *View) ListNeededAt() boottime.Instant {
	if v.ListConfirmedAt >= v.rewrittenAt {
		return 0
	}
	return min(v.rewrittenAt, v.ListConfirmedAt.Add(v.usualAge/2))
}

// mayBeIncomplete reports whether backend servers missing from a list may still write their
// entries again: the list is the first one after an outage, or of a newer era than the
// current one.
func (v *View) mayBeIncomplete(at Position, confirmedAt boottime.Instant) bool {
	return v.ListConfirmedAt != 0 && (at.Era > v.Position.Era || confirmedAt.Sub(v.ListConfirmedAt) > v.outageAge)
}

// replaceList sets the list at the position, known to be complete at confirmedAt,
// and reports whether its content changed.
func (v *View) replaceList(listed map[string]*Backend, missingSince map[string]boottime.Instant, at Position, confirmedAt, now boottime.Instant) bool {
	before := *v
	changed := !sameBackends(before.Backends, listed)
	if changed {
		v.setBackends(listed)
		v.recordRemovals(before.Backends, at, now)
		v.recordVersions(&before, now)
	}
	v.noteVersionGap(confirmedAt, now)
	v.noteOutage(confirmedAt, now)
	v.MissingSince = missingSince
	v.Position = at
	v.ListConfirmedAt = max(v.ListConfirmedAt, confirmedAt)
	return changed
}

// mergeList returns the current list updated with received, a complete list, and since when
// each retained backend server has been missing from it. incomplete says that live servers
// may be missing from received.
func (v *View) mergeList(received []Backend, incomplete bool, now boottime.Instant) (map[string]*Backend, map[string]boottime.Instant) {
	listed := make(map[string]*Backend, len(received))
	for i := range received {
		if v.isRemoved(&received[i], now) {
			continue
		}
		listed[received[i].ID] = v.newerEntry(v.Backends[received[i].ID], &received[i], now)
	}
	missingSince := make(map[string]boottime.Instant)
	for id, previous := range v.Backends {
		if listed[id] != nil {
			continue
		}
		if since, retained := v.retainMissing(id, incomplete, now); retained {
			missingSince[id] = since
			listed[id] = previous
		}
	}
	return listed, missingSince
}

// retainMissing reports whether a backend server that is missing stays in the list, and
// since when it has been missing.
func (v *View) retainMissing(id string, incomplete bool, now boottime.Instant) (since boottime.Instant, retained bool) {
	since, wasMissing := v.MissingSince[id]
	if !wasMissing && !incomplete {
		return 0, false
	}
	if !wasMissing {
		since = now
	}
	return since, now.Sub(since) < missingGrace
}

// BackendChange is a change of one entry of the list of backend servers.
type BackendChange struct {
	ID    string
	Entry *Backend // the newest entry, nil if it was removed
}

// ApplyBackendChanges applies changes in order, all of them up to the position. They are
// applied as a batch because each new view costs time proportional to the length of the
// list, and a zone that returns brings thousands of changes.
func (s *State) ApplyBackendChanges(changes []BackendChange, upTo Position) {
	s.update(func(view *View) bool {
		if view.ListConfirmedAt == 0 || upTo.Era < view.Position.Era {
			return false // an older era's changes do not apply to the restored store
		}
		now := boottime.Now()
		before := *view
		backends := view.withChanges(changes, now)
		view.Position = Newest(view.Position, upTo)
		if backends == nil {
			view.recordPassingVersions(changes, now)
			return false
		}
		view.setBackends(backends)
		view.recordRemovals(before.Backends, upTo, now)
		view.recordVersions(&before, now)
		view.recordPassingVersions(changes, now)
		return true
	})
}

// withChanges returns the list with the changes applied, nil if they change nothing.
func (v *View) withChanges(changes []BackendChange, now boottime.Instant) map[string]*Backend {
	var backends map[string]*Backend
	for _, change := range changes {
		entry := change.Entry
		if entry != nil && (!v.Position.Before(entry.Position) || v.isRemoved(entry, now)) {
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
		backends[change.ID] = v.newerEntry(backends[change.ID], entry, now)
	}
	return backends
}

// ConfirmBackends records that another router's list with the digest was complete at
// confirmedAt. It does nothing if the own list differs or retains missing servers.
func (s *State) ConfirmBackends(digest uint64, confirmedAt boottime.Instant) {
	s.update(func(view *View) bool {
		if view.ListConfirmedAt != 0 && view.Digest == digest && len(view.MissingSince) == 0 {
			now := boottime.Now()
			view.noteVersionGap(confirmedAt, now)
			view.noteOutage(confirmedAt, now)
			view.ListConfirmedAt = max(view.ListConfirmedAt, confirmedAt)
		}
		return false
	})
}
