package platform

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrTooLarge means that an object's data exceeds MaxObjectBytes.
var ErrTooLarge = errors.New("object too large")

// DefaultHistory is the number of changes that a Store retains for watches.
const DefaultHistory = 4096

// StoreOptions configure a Store. The zero value is ready for use.
type StoreOptions struct {
	History         int              // changes retained for watches; 0 is DefaultHistory
	WritesPerSecond int              // 0 is DefaultWritesPerSecond
	ReadsPerSecond  int              // 0 is DefaultReadsPerSecond
	VMLag           time.Duration    // time until a change is visible in the list of VMs
	NodesMakeVMs    bool             // writing an object under NodePrefix adds its VM to the list as live
	Now             func() time.Time // nil is time.Now
}

// Store is an in-memory implementation of the platform's API, for tests and the
// stand-in. It is safe for concurrent use.
type Store struct {
	options StoreOptions
	limits  limits
	now     func() time.Time

	mu            sync.Mutex
	version       Version
	objects       map[string]Object
	history       []Change
	compactedTo   Version // changes up to this version are no longer in history
	changed       chan struct{}
	vms           vmList
	faults        Faults
	staleSnapshot *snapshot
	counts        CallCounts
}

var _ API = (*Store)(nil)

// NewStore returns an empty store.
func NewStore(options StoreOptions) *Store {
	if options.History == 0 {
		options.History = DefaultHistory
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Store{
		options: options,
		limits:  newLimits(options.WritesPerSecond, options.ReadsPerSecond),
		now:     options.Now,
		objects: make(map[string]Object),
		changed: make(chan struct{}),
		vms:     vmList{lag: options.VMLag},
	}
}

// Counts returns the number of calls so far.
func (s *Store) Counts() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get implements API.
func (s *Store) Get(ctx context.Context, key string) (Object, error) {
	if err := s.admit(ctx, CallGet); err != nil {
		return Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.readableObjects()[key]
	if !ok {
		return Object{}, errors.WithStack(ErrNotFound)
	}
	return clone(object), nil
}

// Put implements API.
func (s *Store) Put(ctx context.Context, key string, data []byte, expect Version) (Version, error) {
	if len(data) > MaxObjectBytes {
		return 0, errors.WithStack(ErrTooLarge)
	}
	if err := s.admit(ctx, CallPut); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != expect {
		return 0, errors.WithStack(ErrConflict)
	}
	s.version++
	object := Object{Key: key, Version: s.version, Data: slices.Clone(data)}
	s.objects[key] = object
	s.record(Change{Object: object})
	s.addVMOfNode(object)
	if s.loseReply() {
		return 0, errors.WithStack(ErrOutcomeUnknown)
	}
	return s.version, nil
}

// Delete implements API.
func (s *Store) Delete(ctx context.Context, key string, expect Version) error {
	if err := s.admit(ctx, CallDelete); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return errors.WithStack(ErrNotFound)
	}
	if object.Version != expect {
		return errors.WithStack(ErrConflict)
	}
	s.version++
	delete(s.objects, key)
	s.record(Change{Object: Object{Key: key, Version: s.version}, Deleted: true})
	if s.loseReply() {
		return errors.WithStack(ErrOutcomeUnknown)
	}
	return nil
}

// List implements API.
func (s *Store) List(ctx context.Context, prefix string) ([]Object, Version, error) {
	if err := s.admit(ctx, CallList); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var listed []Object
	for key, object := range s.readableObjects() {
		if strings.HasPrefix(key, prefix) {
			listed = append(listed, clone(object))
		}
	}
	slices.SortFunc(listed, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return listed, s.readVersion(), nil
}

// record adds a change to the history and wakes the watches. The caller holds
// the lock.
func (s *Store) record(change Change) {
	s.history = append(s.history, change)
	if excess := len(s.history) - s.options.History; excess > 0 {
		s.compactedTo = s.history[excess-1].Object.Version
		s.history = slices.Delete(s.history, 0, excess)
	}
	s.wake()
}

// wake makes every waiting watch check for changes. The caller holds the lock.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// snapshot is the state that stale reads return.
type snapshot struct {
	version Version
	objects map[string]Object
	vms     []VM
}

func (s *Store) snapshot() *snapshot {
	return &snapshot{
		version: s.version,
		objects: maps.Clone(s.objects),
		vms:     s.vms.visibleAt(s.now()),
	}
}

// readableObjects returns the objects that reads currently see.
func (s *Store) readableObjects() map[string]Object {
	if s.staleSnapshot != nil {
		return s.staleSnapshot.objects
	}
	return s.objects
}

// readVersion returns the version that reads currently see.
func (s *Store) readVersion() Version {
	if s.staleSnapshot != nil {
		return s.staleSnapshot.version
	}
	return s.version
}

// clone copies an object so that callers cannot modify the store's data.
func clone(object Object) Object {
	object.Data = slices.Clone(object.Data)
	return object
}
