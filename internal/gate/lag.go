package gate

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// lagInterval is the pause between two looks at the clock.
	lagInterval = 50 * time.Millisecond
	// lagMemory is the weight of the newest look in the average.
	lagMemory = 0.15
	// lagMost bounds one look, so that a single standstill of the whole VM,
	// which is over when it is seen, does not count as overload.
	lagMost = 300 * time.Millisecond
	// overloadedFrom is the average lag from which the router leaves callers
	// to others: requests then wait longer for the processor than the quickest
	// routes allow for their answers.
	overloadedFrom = 80 * time.Millisecond
	// relievedAt is the average lag at which it takes callers again.
	relievedAt = 10 * time.Millisecond
	// relievedAfter is the least time in between. The balancer needs two
	// seconds to notice either.
	relievedAfter = 3 * time.Second
)

// lagMeter measures how late goroutines run, to notice a router that gets more
// callers than its processor can serve. Callers are spread over routers by a
// hash, so one may get many times what the others get; its requests would wait
// until their callers have left.
type lagMeter struct {
	overloaded atomic.Bool
	average    time.Duration
	since      time.Time // when the overload was noticed
}

// run measures until the context ends.
func (m *lagMeter) run(ctx context.Context) error {
	for {
		before := time.Now()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(lagInterval):
		}
		now := time.Now()
		m.note(now.Sub(before)-lagInterval, now)
	}
}

// note takes one look: goroutines ran so late.
func (m *lagMeter) note(lag time.Duration, now time.Time) {
	lag = min(max(lag, 0), lagMost)
	m.average += time.Duration(lagMemory * float64(lag-m.average))
	switch {
	case m.average > overloadedFrom:
		m.since = now
		m.overloaded.Store(true)
	case m.average < relievedAt && now.Sub(m.since) > relievedAfter:
		m.overloaded.Store(false)
	}
}
