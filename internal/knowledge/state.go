package knowledge

import (
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
	Revision  uint64                       // of the list of backend servers
	Listed    boottime.Instant             // a moment at which the list was complete
	Absent    map[string]boottime.Instant  // when a listed backend server was first missed

	Evacuations       Evacuations
	expectEvacuations bool
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
// an outage of the store still counts. Entries that lapsed during the outage
// come back within two seconds of its end; a request may still be sent well
// before the users' bound for servers that have left.
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
// list of an older revision than the known one is ignored.
func (s *State) SetBackends(backends []Backend, revision uint64, confirmed boottime.Instant) {
	s.update(func(view *View) bool {
		if revision < view.Revision {
			return false
		}
		now := boottime.Now()
		appeared := now
		if view.Listed == 0 {
			appeared = 0
		}
		listed := make(map[string]*Backend, len(backends))
		for i := range backends {
			listed[backends[i].ID] = newest(view.Backends[backends[i].ID], &backends[i], appeared)
		}
		absent := make(map[string]boottime.Instant)
		afterOutage := view.Listed != 0 && confirmed.Sub(view.Listed) > outageAge
		for id, known := range view.Backends {
			if listed[id] != nil {
				continue
			}
			since, missed := view.Absent[id]
			if !missed && !afterOutage {
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
		changed := !sameBackends(view.Backends, listed)
		if changed {
			view.setBackends(listed)
		}
		view.Absent = absent
		view.Revision = revision
		view.Listed = max(view.Listed, confirmed)
		return changed
	})
}

// BackendChange is a change of the list of backend servers.
type BackendChange struct {
	ID       string
	Entry    *Backend // the newest entry, nil for one that was removed
	Revision uint64   // of the entry, 0 for a removal
}

// ChangeBackends takes changes in their order. They are taken together, because each new
// view costs as much as the list is long, and a zone that comes back brings thousands of
// changes: with one view each, 100 routers before 1,000 backend servers did not serve for
// 30 s after it; together, for 3 s.
func (s *State) ChangeBackends(changes []BackendChange) {
	s.update(func(view *View) bool {
		if view.Listed == 0 {
			return false
		}
		var backends map[string]*Backend
		for _, change := range changes {
			if change.Entry != nil && change.Revision <= view.Revision {
				continue
			}
			if change.Entry == nil && view.Backends[change.ID] == nil && backends[change.ID] == nil {
				continue
			}
			if backends == nil {
				backends = cloneBackends(view.Backends)
			}
			if change.Entry == nil {
				delete(backends, change.ID)
				continue
			}
			backends[change.ID] = newest(backends[change.ID], change.Entry, boottime.Now())
		}
		if backends == nil {
			return false
		}
		view.setBackends(backends)
		return true
	})
}

// SetBackend takes the newest entry of one backend server.
func (s *State) SetBackend(backend Backend, revision uint64) {
	s.ChangeBackends([]BackendChange{{ID: backend.ID, Entry: &backend, Revision: revision}})
}

// RemoveBackend tells that the entry of a backend server was removed.
func (s *State) RemoveBackend(id string) {
	s.ChangeBackends([]BackendChange{{ID: id}})
}

// AdvanceBackends tells that all changes up to the revision have been taken.
func (s *State) AdvanceBackends(revision uint64) {
	s.update(func(view *View) bool {
		view.Revision = max(view.Revision, revision)
		return false
	})
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
