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
	faultDown      fault = "down"       // rejected, no effect
	faultReplyLost fault = "reply lost" // the write takes effect, the caller gets no reply
	faultNoEffect  fault = "no effect"  // the write has no effect, the caller gets no reply
	faultLate      fault = "late"       // the call times out, the write reaches the platform later
	faultStale     fault = "stale"      // the read returns an earlier state
	faultSlow      fault = "slow"       // the call times out without an effect
)

// faultyPlatform injects a fault chosen by the test into each call of an operator.
type faultyPlatform struct {
	platform.API
	shared *sharedPlatform
	decide func(write bool, key string) fault
}

// sharedPlatform is a platform that records earlier states and delays late writes.
type sharedPlatform struct {
	store         *platform.Store
	earlierStates map[string][]platform.Object
	lateWrites    []func()
}

func newSharedPlatform() *sharedPlatform {
	const plenty = 1 << 30
	store := platform.NewStore(platform.StoreOptions{WritesPerSecond: plenty, ReadsPerSecond: plenty})
	return &sharedPlatform{store: store, earlierStates: make(map[string][]platform.Object)}
}

func (s *sharedPlatform) withFaults(decide func(write bool, key string) fault) *faultyPlatform {
	return &faultyPlatform{API: s.store, shared: s, decide: decide}
}

func (s *sharedPlatform) put(ctx context.Context, key string, data []byte, expect platform.Version) (platform.Version, error) {
	before, _ := s.store.Get(ctx, key)
	version, err := s.store.Put(ctx, key, data, expect)
	if err == nil {
		s.earlierStates[key] = append(s.earlierStates[key], before)
	}
	return version, err
}

// applyLateWrites applies the writes that are in flight.
func (s *sharedPlatform) applyLateWrites() {
	for _, write := range s.lateWrites {
		write()
	}
	s.lateWrites = nil
}

func (p *faultyPlatform) Get(ctx context.Context, key string) (platform.Object, error) {
	switch p.decide(false, key) {
	case faultNone:
		return p.API.Get(ctx, key)
	case faultStale:
		states := p.shared.earlierStates[key]
		if len(states) == 0 {
			return p.API.Get(ctx, key)
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

func (p *faultyPlatform) Put(ctx context.Context, key string, data []byte, expect platform.Version) (platform.Version, error) {
	data = slices.Clone(data)
	switch p.decide(true, key) {
	case faultNone:
		return p.shared.put(ctx, key, data, expect)
	case faultReplyLost:
		_, _ = p.shared.put(ctx, key, data, expect)
		return 0, platform.ErrOutcomeUnknown
	case faultLate:
		p.shared.lateWrites = append(p.shared.lateWrites, func() { _, _ = p.shared.put(context.Background(), key, data, expect) })
		return 0, context.DeadlineExceeded
	case faultNoEffect:
		return 0, platform.ErrOutcomeUnknown
	case faultSlow:
		return 0, context.DeadlineExceeded
	default:
		return 0, platform.ErrUnavailable
	}
}

func (p *faultyPlatform) Delete(ctx context.Context, key string, expect platform.Version) error {
	if p.decide(true, key) != faultNone {
		return platform.ErrUnavailable
	}
	return p.API.Delete(ctx, key, expect)
}

func (p *faultyPlatform) List(ctx context.Context, prefix string) ([]platform.Object, platform.Version, error) {
	switch p.decide(false, prefix) {
	case faultNone:
		return p.API.List(ctx, prefix)
	case faultStale:
		object, err := p.Get(ctx, prefix)
		return []platform.Object{object}, object.Version, err
	default:
		return nil, 0, platform.ErrUnavailable
	}
}

// noWaitRetry retries a few times without waiting, so that tests don't depend on
// the clock.
func noWaitRetry() RetryPolicy {
	return RetryPolicy{
		MaxAttempts: 4, CallTimeout: time.Minute,
		Backoff: func(ctx context.Context, _ int) error { return ctx.Err() },
	}
}

// smallLimits are limits at which edits move to audit objects and unreferenced
// chunks are collected every few revisions, and chunks are split as soon as they
// have two or three nodes.
var smallLimits = limits{
	maxRecent: 3, keepRecent: 1, maxRecentBytes: 1 << 20, collectInterval: 2, chunkRetention: 1,
	maxChunkBytes: 100, maxChunks: 64,
}

func newTestEditor(api platform.API) *Editor {
	editor := NewEditor(api, noWaitRetry())
	editor.reader.limits = smallLimits
	return editor
}

// history reads all accepted edits, oldest first.
func (s *sharedPlatform) history() ([]Record, error) {
	reader := NewReader(s.store, noWaitRetry())
	head, _, err := reader.ReadHead(context.Background(), 0)
	if err != nil {
		return nil, err
	}
	records, err := reader.editsAfter(context.Background(), head, 0)
	if err == nil && uint64(len(records)) != head.Revision {
		err = errors.Errorf("%d edits at revision %d", len(records), head.Revision)
	}
	return records, err
}

func countRecords(records []Record, id EditID) int {
	found := 0
	for _, record := range records {
		if record.ID == id {
			found++
		}
	}
	return found
}
