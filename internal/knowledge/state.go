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
	// ConfigurationConfirmedAt is a moment at which the version in Index was still the
	// newest, or there was none yet, as the platform's store said.
	ConfigurationConfirmedAt boottime.Instant

	// StoreContact is when the store last answered a call of this process's own.
	StoreContact boottime.Instant

	Backends        map[string]*Backend          // by ID
	ByService       map[fleet.Service][]*Backend // in the order of their IDs
	Serving         map[fleet.Service][]*Backend // those that neither leave nor are evacuated
	Digest          uint64                       // of the list of backend servers, to compare it with another router's
	Position        Position                     // up to which the list of backend servers was followed
	ListConfirmedAt boottime.Instant             // a moment at which the list was complete
	MissingSince    map[string]boottime.Instant  // when a listed backend server was first missed

	Evacuations       Evacuations
	expectEvacuations bool

	// RestoredAt is when the store was seen to have come back from an older copy, 0 for
	// never.
	RestoredAt boottime.Instant
	removed    map[string]removal // of backend servers that were listed, by ID
	// outageAge is the age of the list from which the next one counts as the first after
	// an outage.
	outageAge time.Duration
	// tracedFrom is the position from which on removed lacks nothing.
	tracedFrom Position
}

// Ready tells whether requests can be answered at all.
func (v *View) Ready() bool {
	return v.Index != nil && v.ListConfirmedAt != 0 && (v.Evacuations.ConfirmedAt != 0 || !v.expectEvacuations)
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
		outageAge: outageLeast,
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
				view.ConfigurationConfirmedAt = max(view.ConfigurationConfirmedAt, confirmed)
			}
			return false
		}
		view.Index = NewIndex(configuration)
		view.ConfigurationConfirmedAt = max(view.ConfigurationConfirmedAt, confirmed)
		return true
	})
}

// ConfirmConfiguration tells that the version was still the newest at the
// moment, 0 that there was none yet. It does nothing when another version is known by now.
func (s *State) ConfirmConfiguration(version uint64, confirmed boottime.Instant) {
	s.update(func(view *View) bool {
		if view.Version() == version {
			view.ConfigurationConfirmedAt = max(view.ConfigurationConfirmedAt, confirmed)
		}
		return false
	})
}

// SetStoreContact tells that the store answered this process at the moment.
func (s *State) SetStoreContact(at boottime.Instant) {
	s.update(func(view *View) bool {
		view.StoreContact = max(view.StoreContact, at)
		return false
	})
}
