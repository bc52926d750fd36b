package settings

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// fault is what happens to one call to the platform.
type fault string

const (
	faultNone      fault = "none"
	faultDown      fault = "down"       // refused, no effect
	faultReplyLost fault = "reply lost" // the write takes effect, the caller does not hear of it
	faultNoEffect  fault = "no effect"  // the caller does not hear, and there is no effect
	faultLate      fault = "late"       // the caller gives up, the write reaches the platform later
	faultStale     fault = "stale"      // the read gives an earlier state
	faultSlow      fault = "slow"       // the call's time limit ends before it has an effect
)

// gatedPlatform lets a test decide about each call of one operator.
type gatedPlatform struct {
	platform.API
	shared *sharedPlatform
	decide func(write bool, key string) fault
}

// sharedPlatform is one platform with its earlier states and late writes.
type sharedPlatform struct {
	store   *platform.Store
	earlier map[string][]platform.Object
	late    []func()
}

func newSharedPlatform() *sharedPlatform {
	const plenty = 1 << 30
	store := platform.NewStore(platform.StoreOptions{WritesPerSecond: plenty, ReadsPerSecond: plenty})
	return &sharedPlatform{store: store, earlier: make(map[string][]platform.Object)}
}

func (s *sharedPlatform) gate(decide func(write bool, key string) fault) *gatedPlatform {
	return &gatedPlatform{API: s.store, shared: s, decide: decide}
}

func (s *sharedPlatform) put(ctx context.Context, key string, data []byte, expect platform.Version) (platform.Version, error) {
	before, _ := s.store.Get(ctx, key)
	version, err := s.store.Put(ctx, key, data, expect)
	if err == nil {
		s.earlier[key] = append(s.earlier[key], before)
	}
	return version, err
}

// applyLate lets the writes that were on their way reach the platform.
func (s *sharedPlatform) applyLate() {
	for _, write := range s.late {
		write()
	}
	s.late = nil
}

func (g *gatedPlatform) Get(ctx context.Context, key string) (platform.Object, error) {
	switch g.decide(false, key) {
	case faultNone:
		return g.API.Get(ctx, key)
	case faultStale:
		states := g.shared.earlier[key]
		if len(states) == 0 {
			return g.API.Get(ctx, key)
		}
		old := states[len(states)-1]
		if old.Version == 0 {
			return platform.Object{}, platform.ErrNotFound
		}
		return old, nil
	case faultSlow:
		return platform.Object{}, context.DeadlineExceeded
	default:
		return platform.Object{}, platform.ErrUnavailable
	}
}

func (g *gatedPlatform) Put(ctx context.Context, key string, data []byte, expect platform.Version) (platform.Version, error) {
	data = slices.Clone(data)
	switch g.decide(true, key) {
	case faultNone:
		return g.shared.put(ctx, key, data, expect)
	case faultReplyLost:
		_, _ = g.shared.put(ctx, key, data, expect)
		return 0, platform.ErrOutcomeUnknown
	case faultLate:
		g.shared.late = append(g.shared.late, func() { _, _ = g.shared.put(context.Background(), key, data, expect) })
		return 0, context.DeadlineExceeded
	case faultNoEffect:
		return 0, platform.ErrOutcomeUnknown
	case faultSlow:
		return 0, context.DeadlineExceeded
	default:
		return 0, platform.ErrUnavailable
	}
}

func (g *gatedPlatform) Delete(ctx context.Context, key string, expect platform.Version) error {
	if g.decide(true, key) != faultNone {
		return platform.ErrUnavailable
	}
	return g.API.Delete(ctx, key, expect)
}

func (g *gatedPlatform) List(ctx context.Context, prefix string) ([]platform.Object, platform.Version, error) {
	switch g.decide(false, prefix) {
	case faultNone:
		return g.API.List(ctx, prefix)
	case faultStale:
		object, err := g.Get(ctx, prefix)
		return []platform.Object{object}, object.Version, err
	default:
		return nil, 0, platform.ErrUnavailable
	}
}

// quickRetry repeats a few times and never waits, so that tests judge nothing
// by the clock.
func quickRetry() RetryPolicy {
	return RetryPolicy{
		MaxAttempts: 4, CallTimeout: time.Minute,
		Backoff: func(ctx context.Context, _ int) error { return ctx.Err() },
	}
}

// smallLimits make every few edits move to audit objects, every few revisions
// search for unreferenced chunks, and chunks split as soon as they have two or
// three nodes.
var smallLimits = limits{
	maxRecent: 3, keepRecent: 1, maxRecentBytes: 1 << 20, collectEvery: 2, keepChunks: 1,
	maxChunkBytes: 100, maxChunks: 64,
}

func newTestEditor(api platform.API) *Editor {
	editor := NewEditor(api, quickRetry())
	editor.reader.limits = smallLimits
	return editor
}

// history reads all accepted edits, the oldest first.
func (s *sharedPlatform) history() ([]Record, error) {
	reader := NewReader(s.store, quickRetry())
	head, _, err := reader.ReadHead(context.Background(), 0)
	if err != nil {
		return nil, err
	}
	records, err := reader.after(context.Background(), head, 0)
	if err == nil && uint64(len(records)) != head.Revision {
		err = errors.Errorf("%d edits at revision %d", len(records), head.Revision)
	}
	return records, err
}

func count(records []Record, id EditID) int {
	found := 0
	for _, record := range records {
		if record.ID == id {
			found++
		}
	}
	return found
}
