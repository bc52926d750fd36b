package gate

import (
	"sync"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// minStall is the time between two ticks from which the process counts as stalled in
	// between. It is twice the interval of the ticks.
	minStall = 2 * lagInterval
	// stallTail is the time after a stall in which events that happened during the stall
	// may still be handled.
	stallTail = 2 * lagInterval
)

// stallTracker tracks when the process was stalled: suspended together with its VM, or
// without processor. An event from outside, such as a signal, is handled after the stall in
// which it happened, so the time of its handling may be much too late. Its methods may be
// called concurrently.
type stallTracker struct {
	mu       sync.Mutex
	lastTick boottime.Instant // 0 before the first
	began    boottime.Instant // of the last stall
	ended    boottime.Instant // of the last stall, 0 for none
}

// tick records that the process is running. It is called each lagInterval.
func (t *stallTracker) tick(now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastTick != 0 && now.Sub(t.lastTick) > minStall {
		t.began, t.ended = t.stallBegin(t.lastTick), now
	}
	t.lastTick = now
}

// stallBegin returns when a stall after the given tick began. Two stalls with little time
// in between count as one.
func (t *stallTracker) stallBegin(tick boottime.Instant) boottime.Instant {
	if t.ended != 0 && tick.Sub(t.ended) < stallTail {
		return t.began
	}
	return tick
}

// earliest returns the earliest time at which an event may have happened that is handled
// now: before the stall if there has just been one, else now.
func (t *stallTracker) earliest(now boottime.Instant) boottime.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.lastTick != 0 && now.Sub(t.lastTick) > minStall:
		return t.stallBegin(t.lastTick)
	case t.ended != 0 && now.Sub(t.ended) < stallTail:
		return t.began
	}
	return now
}
