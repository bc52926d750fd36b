package gate

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// Guards against a signal that counts as sent when it was handled although the process was
// stalled before, and against one that counts as sent long before without a stall.
func TestEarliestTimeOfAnEvent(t *testing.T) {
	const start = boottime.Instant(time.Hour)
	at := func(milliseconds int) boottime.Instant {
		return start.Add(time.Duration(milliseconds) * time.Millisecond)
	}
	for _, test := range []struct {
		name           string
		ticks          []int // milliseconds after the start
		handled, first int
	}{
		{"before the first tick", nil, 500, 500},
		{"no stall", []int{0, 50, 100}, 140, 140},
		{"a late tick", []int{0, 50, 140}, 150, 150},
		{"stall, handled before the next tick", []int{0, 50}, 750, 50},
		{"stall, handled after the next tick", []int{0, 50, 750}, 755, 50},
		{"stall long before", []int{0, 50, 750, 800, 850, 900}, 905, 905},
		{"two stalls in quick succession", []int{0, 50, 550, 600, 1200}, 1210, 50},
		{"two stalls apart", []int{0, 50, 550, 600, 650, 700, 1200}, 1210, 700},
	} {
		tracker := new(stallTracker)
		for _, tick := range test.ticks {
			tracker.tick(at(tick))
		}
		if got := tracker.earliest(at(test.handled)); got != at(test.first) {
			t.Errorf("%s: %v after the start, want %d ms", test.name, got.Sub(start), test.first)
		}
	}
}
