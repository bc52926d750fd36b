package knowledge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// View is an immutable snapshot of the fleet state that a router knows.
type View struct {
	Index *Index // nil before a configuration is received
	// ConfigurationConfirmedAt is when the store last confirmed that the version in Index
	// was the newest, or that there was none yet.
	ConfigurationConfirmedAt boottime.Instant

	// StoreContact is when the store last answered a call of this process.
	StoreContact boottime.Instant

	Backends        map[string]*Backend          // by ID
	ByService       map[fleet.Service][]*Backend // sorted by ID
	Serving         map[fleet.Service][]*Backend // those that neither drain nor are in an evacuated zone
	Digest          uint64                       // of the list of backend servers, for comparison with other routers
	Position        Position                     // of the list of backend servers
	ListConfirmedAt boottime.Instant             // when the list was last known to be complete
	MissingSince    map[string]boottime.Instant  // by ID of backend servers that are retained though missing

	Evacuations         Evacuations
	evacuationsRequired bool

	// awaitsPeers is set while other routers may have a newer configuration than the store, and
	// peerVersion is the version that one of them has.
	awaitsPeers bool
	peerVersion uint64

	// RestoredAt is when this router observed that the store was restored from an older
	// copy, 0 for never.
	RestoredAt boottime.Instant
	removed    map[string]removal // removed backend servers by ID
	// versioned holds the services of which a backend server states its version.
	versioned map[fleet.Service]bool
	versions  versionLog
	// newFleetAt is when the whole fleet started with this process, 0 if it did not.
	newFleetAt boottime.Instant
	// outageAge is the age of the current list beyond which the store counts as having been
	// unreachable. The next list is then the first after an outage and may be incomplete.
	outageAge time.Duration
	// usualAge is the age that the list seldom exceeds while the store answers.
	usualAge time.Duration
	// listedBeforeOutage is when the last list before the last outage was complete, and
	// rewrittenAt when the entries of all processes have been written again after it.
	listedBeforeOutage boottime.Instant
	rewrittenAt        boottime.Instant
	// removalsSince is the position since which removed is complete.
	removalsSince Position
}

// Ready reports whether requests can be answered at all.
func (v *View) Ready() bool {
	return v.Index != nil && v.ListConfirmedAt != 0 && (v.Evacuations.ConfirmedAt != 0 || !v.evacuationsRequired) && v.KnowsNewest()
}

// Version returns the version of the configuration, 0 for none.
func (v *View) Version() uint64 {
	if v.Index == nil {
		return 0
	}
	return v.Index.Configuration.Version
}

// State holds the newest View. Its methods may be called concurrently.
type State struct {
	mu      sync.Mutex // serializes writers
	view    atomic.Pointer[View]
	changed chan struct{} // closed and replaced at each change of content
	// listConfirmed is closed when the list is known to be complete at a later time, nil while
	// nobody waits for that.
	listConfirmed chan struct{}
}

// NewState returns a state with nothing received yet.
func NewState() *State {
	state := &State{changed: make(chan struct{})}
	state.view.Store(&View{
		Backends:  make(map[string]*Backend),
		ByService: make(map[fleet.Service][]*Backend),
		outageAge: minOutageAge,
		usualAge:  minOutageAge,
	})
	return state
}

// View returns the current view.
func (s *State) View() *View { return s.view.Load() }

// Changed returns a channel that is closed at the next change of content.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// update replaces the view by a copy modified by change, which reports whether the content
// changed, not only its freshness.
func (s *State) update(change func(view *View) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.view.Load()
	confirmedAt := next.ListConfirmedAt
	contentChanged := change(&next)
	s.view.Store(&next)
	if next.ListConfirmedAt > confirmedAt && s.listConfirmed != nil {
		close(s.listConfirmed)
		s.listConfirmed = nil
	}
	if !contentChanged {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// AwaitList waits until the list of backend servers is known to have been complete at the time or
// later. It returns false if the context ends before.
func (s *State) AwaitList(ctx context.Context, at boottime.Instant) bool {
	for {
		confirmed := s.nextListConfirmation()
		if s.View().ListConfirmedAt >= at {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-confirmed:
		}
	}
}

// nextListConfirmation returns a channel that is closed when the list is known to be complete at
// a later time than now.
func (s *State) nextListConfirmation() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listConfirmed == nil {
		s.listConfirmed = make(chan struct{})
	}
	return s.listConfirmed
}

// SetConfiguration applies a configuration that was the newest at confirmedAt. A version
// older than the current one is ignored: versions never decrease within a process, or a
// caller would see a withdrawn route again.
func (s *State) SetConfiguration(configuration *Configuration, confirmedAt boottime.Instant) {
	s.update(func(view *View) bool {
		if view.Index != nil && configuration.Version <= view.Version() {
			if configuration.Version == view.Version() {
				view.ConfigurationConfirmedAt = max(view.ConfigurationConfirmedAt, confirmedAt)
			}
			return false
		}
		view.Index = NewIndex(configuration)
		view.ConfigurationConfirmedAt = max(view.ConfigurationConfirmedAt, confirmedAt)
		return true
	})
}

// ConfirmConfiguration records that the version was the newest at confirmedAt; version 0
// means that there was none yet. It does nothing if the current version differs.
func (s *State) ConfirmConfiguration(version uint64, confirmedAt boottime.Instant) {
	s.update(func(view *View) bool {
		if view.Version() == version {
			view.ConfigurationConfirmedAt = max(view.ConfigurationConfirmedAt, confirmedAt)
		}
		return false
	})
}

// SetStoreContact records that the store answered this process at the time.
func (s *State) SetStoreContact(at boottime.Instant) {
	s.update(func(view *View) bool {
		view.StoreContact = max(view.StoreContact, at)
		return false
	})
}
