package knowledge

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// View is what a router knows at one moment. It does not change.
type View struct {
	Index *Index // nil before a configuration is known
	// Configured is a moment at which the version in Index was still the
	// newest, as the platform's store said.
	Configured boottime.Instant

	// Contact is when the store last answered a call of this process's own.
	Contact boottime.Instant

	Backends  map[string]*Backend          // by ID
	ByService map[fleet.Service][]*Backend // in the order of their IDs
	Serving   map[fleet.Service][]*Backend // those that neither leave nor are evacuated
	Digest    uint64                       // of the list of backend servers, to compare it with another router's
	Position  Position                     // up to which the list of backend servers was followed
	Listed    boottime.Instant             // a moment at which the list was complete
	Absent    map[string]boottime.Instant  // when a listed backend server was first missed

	Evacuations       Evacuations
	expectEvacuations bool

	// WentBack is when the store was seen to have come back from an older copy, 0 for
	// never.
	WentBack boottime.Instant
	removed  map[string]removal // of backend servers that were listed, by ID
}

// Ready tells whether requests can be answered at all.
func (v *View) Ready() bool {
	return v.Index != nil && v.Listed != 0 && (v.Evacuations.Confirmed != 0 || !v.expectEvacuations)
}

// Version returns the version of the configuration, 0 for none.
func (v *View) Version() uint64 {
	if v.Index == nil {
		return 0
	}
	return v.Index.Configuration.Version
}

// State is the newest View. Its methods may be called concurrently.
type State struct {
	mu      sync.Mutex // held by writers
	view    atomic.Pointer[View]
	changed chan struct{} // closed and replaced at each change of content
}

// NewState returns a state in which nothing is known.
func NewState() *State {
	state := &State{changed: make(chan struct{})}
	state.view.Store(&View{
		Backends:  make(map[string]*Backend),
		ByService: make(map[fleet.Service][]*Backend),
	})
	return state
}

// View returns what is known now.
func (s *State) View() *View { return s.view.Load() }

// Changed returns a channel that is closed at the next change of content.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// update replaces the view by what change makes of a copy. change returns
// whether the content changed, not only its freshness.
func (s *State) update(change func(view *View) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := *s.view.Load()
	content := change(&after)
	s.view.Store(&after)
	if !content {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetConfiguration takes a configuration that was the newest at the moment
// confirmed. An older version than the known one is ignored: a version never
// falls within a process, or a caller would see a withdrawn route again.
func (s *State) SetConfiguration(configuration *Configuration, confirmed boottime.Instant) {
	s.update(func(view *View) bool {
		if view.Index != nil && configuration.Version <= view.Version() {
			if configuration.Version == view.Version() {
				view.Configured = max(view.Configured, confirmed)
			}
			return false
		}
		view.Index = NewIndex(configuration)
		view.Configured = max(view.Configured, confirmed)
		return true
	})
}

// ConfirmConfiguration tells that the version was still the newest at the
// moment. It does nothing when another version is known by now.
func (s *State) ConfirmConfiguration(version uint64, confirmed boottime.Instant) {
	s.update(func(view *View) bool {
		if view.Index != nil && view.Version() == version {
			view.Configured = max(view.Configured, confirmed)
		}
		return false
	})
}

// lapseGrace is how long a backend server that is missing from the list after
// an outage of the store, or after it has come back from an older copy, still
// counts. Entries that lapsed or were lost come back within two seconds of its
// return; a request may still be sent well before the users' bound for servers
// that have left.
const lapseGrace = 1500 * time.Millisecond

// outageAge is the age of the list from which the next one counts as the first
// after an outage: several times the pause between two lists.
const outageAge = 3 * time.Second

// SetContact tells that the store answered this process at the moment.
func (s *State) SetContact(at boottime.Instant) {
	s.update(func(view *View) bool {
		view.Contact = max(view.Contact, at)
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
		before := view.Backends
		wentBack := view.Listed != 0 && at.Era > view.Position.Era
		if wentBack {
			view.WentBack = now
		}
		// After either, backend servers that are missing may write their entries again.
		misses := wentBack || view.Listed != 0 && confirmed.Sub(view.Listed) > outageAge
		listed, absent := view.merge(backends, misses, now)
		changed := !sameBackends(before, listed)
		if changed {
			view.setBackends(listed)
			view.noteRemovals(before, now)
		}
		view.Absent = absent
		view.Position = at
		view.Listed = max(view.Listed, confirmed)
		return changed || wentBack
	})
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
		since, missed := v.Absent[id]
		if !missed && !misses {
			continue
		}
		if !missed {
			since = now
		}
		if now.Sub(since) < lapseGrace {
			absent[id] = since
			listed[id] = known
		}
	}
	return listed, absent
}

// BackendChange is a change of the list of backend servers.
type BackendChange struct {
	ID    string
	Entry *Backend // the newest entry, nil for one that was removed
}

// ChangeBackends takes changes in their order, which are all up to the position. They are
// taken together, because each new view costs as much as the list is long, and a zone that
// comes back brings thousands of changes: with one view each, 100 routers before 1,000
// backend servers did not serve for 30 s after it; together, for 3 s.
func (s *State) ChangeBackends(changes []BackendChange, upTo Position) {
	s.update(func(view *View) bool {
		if view.Listed == 0 || upTo.Era < view.Position.Era {
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
		view.noteRemovals(before, now)
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
		if view.Listed != 0 && view.Digest == digest && len(view.Absent) == 0 {
			view.Listed = max(view.Listed, confirmed)
		}
		return false
	})
}
