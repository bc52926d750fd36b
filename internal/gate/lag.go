package gate

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// lagInterval is the pause between two measurements.
	lagInterval = 50 * time.Millisecond
	// lagMemory is the weight of the newest measurement in the average.
	lagMemory = 0.2
	// lagMost bounds one measurement, so that a single standstill of the whole
	// VM, which is over when it is seen, does not count as overload.
	lagMost = 250 * time.Millisecond
	// overloadedFrom is the average lag from which the router leaves callers
	// to others. A request waits for its turn several times.
	overloadedFrom = 60 * time.Millisecond
	// pendingFrom is the lag from which a measurement that is not over yet
	// counts as overload.
	pendingFrom = 150 * time.Millisecond
	// relievedAt is the average lag at which it takes callers again.
	relievedAt = 10 * time.Millisecond
	// relievedAfter is the least time in between. The balancer needs two
	// seconds to notice either.
	relievedAfter = 3 * time.Second
)

// lagMeter measures how long a goroutine waits for its turn, to notice a router
// that gets more callers than its processor can serve. Callers are spread over
// routers by a hash, so one may get many times what the others get.
//
// Goroutines that a timer or another goroutine wakes run first. Those that wait
// for the network stand in the queue that a goroutine joins when it yields; on
// a busy processor they wait for seconds there, while new requests are read and
// sent on at once. So it is the yielding that is measured, not a timer.
type lagMeter struct {
	overloaded atomic.Bool
	yielded    atomic.Int64 // boot-time clock at the yield that is not over yet, 0 for none
	average    time.Duration
	since      boottime.Instant // when the overload was noticed last
}

// run measures until the context ends.
func (m *lagMeter) run(ctx context.Context) error {
	ticker := time.NewTicker(lagInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		before := boottime.Now()
		m.yielded.Store(int64(before))
		runtime.Gosched()
		m.yielded.Store(0)
		now := boottime.Now()
		m.note(now.Sub(before), now)
	}
}

// note takes one measurement.
func (m *lagMeter) note(lag time.Duration, now boottime.Instant) {
	lag = min(lag, lagMost)
	m.average += time.Duration(lagMemory * float64(lag-m.average))
	switch {
	case m.average > overloadedFrom:
		m.since = now
		m.overloaded.Store(true)
	case m.average < relievedAt && now.Sub(m.since) > relievedAfter:
		m.overloaded.Store(false)
	}
}

// busy tells whether the processor is overloaded at the moment.
func (m *lagMeter) busy(now boottime.Instant) bool {
	if m.overloaded.Load() {
		return true
	}
	yielded := boottime.Instant(m.yielded.Load())
	return yielded != 0 && now.Sub(yielded) > pendingFrom
}
