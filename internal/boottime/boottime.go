// Package boottime reads the clock that goes on while the machine is suspended.
//
// Ages of knowledge are measured with it. The monotonic clock of package time
// stands still during a suspension, so knowledge would look fresh that is
// seconds old; the time of day jumps in both directions.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment since the machine started. Instants of different
// machines can't be compared.
type Instant int64

// Now returns the present moment.
func Now() Instant {
	var value unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &value); err != nil {
		// Every supported kernel has this clock; without it no age is known
		// and no request may be answered.
		panic(err)
	}
	return Instant(value.Nano())
}

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns the moment that is the given time after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
