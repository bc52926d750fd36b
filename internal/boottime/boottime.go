// Package boottime reads the clock that goes on while the machine is suspended.
//
// Ages of knowledge are measured with it. The monotonic clock of package time
// stands still during a suspension, so knowledge would look fresh that is
// seconds old; the time of day jumps in both directions.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment since the machine started. Instants of different
// machines can't be compared.
type Instant int64

// anchor ties the monotonic clock to this one. The two run alike but for
// suspensions.
type anchor struct {
	offset int64 // this clock less the monotonic one, nanoseconds
	drift  int64 // time of day less the monotonic clock, nanoseconds
}

// start is where the monotonic clock counts from.
var start = time.Now()

var current atomic.Pointer[anchor]

// tolerance is how much time of day and monotonic clock may drift apart before
// the anchor is taken anew. A suspension, like a step of the time of day, moves
// them apart by its whole length; one shorter than this makes no age wrong.
const tolerance = int64(time.Millisecond)

// Now returns the present moment.
//
// The kernel serves this clock by a system call only, several hundred
// nanoseconds each, and every request reads it some twenty times. Time of day
// and monotonic clock are read without one, and together they show when the
// machine has been suspended. Nanoseconds a reading before and after: 269, 106
// (BenchmarkRead, BenchmarkNow).
func Now() Instant {
	now := time.Now()
	steady := int64(now.Sub(start))
	drift := now.UnixNano() - steady
	known := current.Load()
	if known == nil || drift-known.drift > tolerance || known.drift-drift > tolerance {
		known = takeAnchor()
	}
	return Instant(steady + known.offset)
}

// takeAnchor reads all clocks.
func takeAnchor() *anchor {
	boot := read()
	now := time.Now()
	steady := int64(now.Sub(start))
	fresh := &anchor{offset: boot - steady, drift: now.UnixNano() - steady}
	current.Store(fresh)
	return fresh
}

// read reads the clock from the kernel, in nanoseconds.
func read() int64 {
	var value unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &value); err != nil {
		// Every supported kernel has this clock; without it no age is known
		// and no request may be answered.
		panic(err)
	}
	return value.Nano()
}

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns the moment that is the given time after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
