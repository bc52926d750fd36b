package pace

import (
	"math"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// Report is what a backend server reports of its load with an answer. The zero value
// stands for a server that reports nothing.
type Report struct {
	Running int // requests that it works on
	Waiting int // requests in its queue
	Slots   int // requests that it works on concurrently
	// WorkTime is how long work takes on its machine at present, relative to the usual
	// time on the fleet's machines; 0 if it is not reported.
	WorkTime float64
}

const (
	// MinWorkTime and MaxWorkTime bound the accepted work times.
	MinWorkTime = 0.01
	MaxWorkTime = 100
)

// ValidWorkTime reports whether a work time can be used. NaN can't.
func ValidWorkTime(value float64) bool { return value >= MinWorkTime && value <= MaxWorkTime }

const (
	// MaxAge is the time after which a reported work time is no longer used.
	MaxAge = 2 * window
	// currentMaxAge is how long the newest work time counts as the current one. It is
	// shorter than most slow phases, so that no server is avoided long after one.
	currentMaxAge = 400 * time.Millisecond
	// sumDecayTime is the time constant of the decaying sums.
	sumDecayTime = 10 * time.Second
	// slowedRatio is the ratio of the current to the usual work time from which a server
	// counts as slowed.
	slowedRatio = 1.5
)

// Observation is what one or several routers know of a backend server. Observations of
// different routers are merged; the sums decay.
type Observation struct {
	Usual float64          // smallest work time reported recently, 0 if none
	Now   float64          // newest reported work time
	NowAt boottime.Instant // when Now was reported, 0 for never

	ReadTokens  float64 // prompt tokens of requests whose first event has arrived
	ReadSeconds float64 // time until those first events
	Streams     float64 // streams that have ended completely
	Late        float64 // those of them that were late
}

// Merge returns the combination of the observations of different routers. Both must be as
// of the same time.
func (o Observation) Merge(other Observation) Observation {
	o.Usual = minKnown(o.Usual, other.Usual)
	switch {
	case other.NowAt > o.NowAt:
		o.Now, o.NowAt = other.Now, other.NowAt
	case other.NowAt == o.NowAt:
		o.Now = max(o.Now, other.Now) // independent of the order of the merge
	}
	o.ReadTokens += other.ReadTokens
	o.ReadSeconds += other.ReadSeconds
	o.Streams += other.Streams
	o.Late += other.Late
	return o
}

// minKnown returns the smaller of two work times, where 0 means unknown.
func minKnown(a, b float64) float64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// Decayed returns what remains of the observation after the time has passed.
func (o Observation) Decayed(passed time.Duration) Observation {
	if passed <= 0 {
		return o
	}
	if passed >= MaxAge {
		o.Usual = 0
	}
	factor := math.Exp(-passed.Seconds() / sumDecayTime.Seconds())
	o.ReadTokens *= factor
	o.ReadSeconds *= factor
	o.Streams *= factor
	o.Late *= factor
	return o
}

// Current returns the current work time at the given time, 0 if it is unknown.
func (o Observation) Current(now boottime.Instant) float64 {
	if o.NowAt == 0 || now.Sub(o.NowAt) > currentMaxAge {
		return 0
	}
	return o.Now
}

// Slowed reports whether the server currently works clearly slower than usual.
func (o Observation) Slowed(now boottime.Instant) bool {
	current := o.Current(now)
	return current > 0 && current >= slowedRatio*o.Usual
}
