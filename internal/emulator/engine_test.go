package emulator

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// finish steps the engine until it is idle and returns the total duration.
func finish(e *Engine) time.Duration {
	total := time.Duration(0)
	for {
		took := e.Step()
		if took == 0 {
			return total
		}
		total += took
	}
}

func prompt(tokens int, shared ...Segment) []Segment {
	return append(append([]Segment(nil), shared...), Segment{ID: "own", Tokens: tokens})
}

func TestEventsComeInOrderAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEngine(DefaultConfig())
		count := rapid.IntRange(1, 100).Draw(t, "requests")
		ended := 0
		for range count {
			next := 1
			e.Add(&Request{
				Segments:     prompt(rapid.IntRange(1, 30_000).Draw(t, "tokens")),
				OutputTokens: rapid.IntRange(1, 200).Draw(t, "output"),
				OnEvent: func(number int, last bool) {
					if number != next {
						t.Fatalf("event %d, want %d", number, next)
					}
					next++
					if last {
						ended++
					}
				},
			})
		}
		finish(e)
		if ended != count || e.usedTokens != 0 {
			t.Fatalf("%d of %d ended, %d tokens still in memory", ended, count, e.usedTokens)
		}
	})
}

func TestCachedSegmentIsNotPrefilledAgain(t *testing.T) {
	e := NewEngine(DefaultConfig())
	shared := Segment{ID: "shared", Tokens: 5000}
	for _, own := range []string{"a", "b"} {
		e.Add(&Request{Segments: []Segment{shared, {ID: own, Tokens: 100}}, OutputTokens: 1, OnEvent: func(int, bool) {}})
		finish(e)
	}
	if e.PrefilledTokens != 5200 || e.CachedTokens != 5000 {
		t.Errorf("%d tokens prefilled, %d cached", e.PrefilledTokens, e.CachedTokens)
	}
}

// A segment is cached only once its prompt is complete, so a second request that
// arrives before that prefills it again.
func TestOverlappingRequestsBothPrefillASegment(t *testing.T) {
	e := NewEngine(DefaultConfig())
	shared := Segment{ID: "shared", Tokens: 5000}
	for _, own := range []string{"a", "b"} {
		e.Add(&Request{Segments: []Segment{shared, {ID: own, Tokens: 100}}, OutputTokens: 1, OnEvent: func(int, bool) {}})
	}
	finish(e)
	if e.PrefilledTokens != 10_200 {
		t.Errorf("%d tokens prefilled", e.PrefilledTokens)
	}
}

func TestLeastRecentlyUsedSegmentsAreEvicted(t *testing.T) {
	config := DefaultConfig()
	config.MemoryTokens = 10_000
	e := NewEngine(config)
	for _, id := range []string{"a", "b", "a", "c", "a"} {
		e.Add(&Request{Segments: []Segment{{ID: id, Tokens: 4000}}, OutputTokens: 1, OnEvent: func(int, bool) {}})
		finish(e)
	}
	if e.PrefilledTokens != 12_000 || e.CachedTokens != 8000 {
		t.Errorf("%d tokens prefilled, %d cached", e.PrefilledTokens, e.CachedTokens)
	}
}

func TestCancelledRequestFreesItsSlot(t *testing.T) {
	config := DefaultConfig()
	config.Slots = 1
	e := NewEngine(config)
	first := &Request{Segments: prompt(10), OutputTokens: 1000, OnEvent: func(int, bool) {}}
	e.Add(first)
	e.Step()
	ended := false
	e.Add(&Request{Segments: prompt(10), OutputTokens: 1, OnEvent: func(_ int, last bool) { ended = last }})
	first.Cancel()
	finish(e)
	if !ended || e.usedTokens != 0 {
		t.Errorf("the next request ended: %t; %d tokens in memory", ended, e.usedTokens)
	}
}

func TestMoreRunningRequestsSlowEachToken(t *testing.T) {
	took := func(count int) time.Duration {
		e := NewEngine(DefaultConfig())
		for range count {
			e.Add(&Request{Segments: prompt(1), OutputTokens: 100, OnEvent: func(int, bool) {}})
		}
		return finish(e)
	}
	if one, many := took(1), took(40); many < 3*one/2 {
		t.Errorf("%v alone, %v with 40", one, many)
	}
}
