package boottime

import (
	"sync/atomic"
	"time"
)

// tolerance is how far wall clock and monotonic clock may drift apart before the anchor is
// renewed. A suspension, like a step of the wall clock, moves them apart by its full
// length; one shorter than this does not matter to any age.
const tolerance = int64(time.Millisecond)

const (
	// maxAnchorError is the error of an anchor that counts as exact, in nanoseconds.
	maxAnchorError = int64(100 * time.Microsecond)
	// maxAnchorReads is how often the clocks are read for one anchor until it is exact.
	maxAnchorReads = 10
)

// anchor relates the monotonic clock to the boot-time clock. The two advance alike except
// during suspensions.
type anchor struct {
	// bootOffset is the boot-time clock minus the monotonic clock, in nanoseconds: never
	// more than the true difference, and never less than that of an earlier anchor.
	bootOffset int64
	// wallOffset is the wall clock minus the monotonic clock, in nanoseconds, read before
	// bootOffset, so that a suspension between the two reads is detected later.
	wallOffset int64
	// exact reports whether bootOffset was within maxAnchorError of the true difference. An
	// anchor that is not exact is renewed at the next reading.
	exact bool
}

// clock derives the boot-time clock from the monotonic clock and an anchor.
type clock struct {
	local  func() (monotonic, wallOffset int64) // nanoseconds
	boot   func() int64                         // nanoseconds
	anchor *atomic.Pointer[anchor]
}

// now returns the current time. Successive readings never decrease.
func (c clock) now() Instant {
	monotonic, wallOffset := c.local()
	known := c.anchor.Load()
	if known == nil || !known.exact || wallOffset-known.wallOffset > tolerance || known.wallOffset-wallOffset > tolerance {
		known = c.renewAnchor()
	}
	return Instant(monotonic + known.bootOffset)
}

// renewAnchor reads all clocks and stores a new anchor.
func (c clock) renewAnchor() *anchor {
	renewed := c.readAnchor()
	for reads := 1; !renewed.exact && reads < maxAnchorReads; reads++ {
		renewed = c.readAnchor()
	}
	for {
		known := c.anchor.Load()
		// The true difference never decreases, so the greatest lower bound is the closest.
		if known != nil {
			renewed.bootOffset = max(renewed.bootOffset, known.bootOffset)
		}
		if c.anchor.CompareAndSwap(known, &renewed) {
			return &renewed
		}
	}
}

// readAnchor reads all clocks once. The process may be stopped between two reads, so the
// boot-time clock is read between two readings of the monotonic clock: the second makes
// bootOffset a lower bound, and the time between the two bounds its error.
func (c clock) readAnchor() anchor {
	before, wallOffset := c.local()
	boot := c.boot()
	after, _ := c.local()
	return anchor{bootOffset: boot - after, wallOffset: wallOffset, exact: after-before <= maxAnchorError}
}
