package pace

import (
	"math"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// Report is what a backend server tells of its load with an answer. Its zero value
// stands for a server that tells nothing.
type Report struct {
	Running int // requests that it works on
	Waiting int // requests in its queue
	Slots   int // requests that it works on at once
	// WorkTime is how long work takes on its machine at the moment, in parts of the
	// usual time of the fleet's machines; 0 if it does not tell.
	WorkTime float64
}

const (
	// LeastWorkTime and MostWorkTime bound the work times that are believed.
	MinWorkTime = 0.01
	MaxWorkTime = 100
)

// ValidWorkTime tells whether a work time can be used. NaN can't.
func ValidWorkTime(value float64) bool { return value >= MinWorkTime && value <= MaxWorkTime }

const (
	// MaxAge is how long after it was told a work time counts at most.
	MaxAge = 2 * window
	// nowLife is how long the newest work time stands for the current one. It is shorter
	// than slow phases usually last, so that no server is avoided long after one.
	nowLife = 400 * time.Millisecond
	// sumMemory is the time constant of the decaying sums.
	sumMemory = 10 * time.Second
	// slowedRatio is the current work time, in parts of the usual one, from which a
	// server counts as slowed.
	slowedRatio = 1.5
)

// Observation is what one or several routers know of a backend server. Observations of
// different routers are merged; the sums decay.
type Observation struct {
	Usual float64          // least work time told of late, 0 if none was told
	Now   float64          // newest work time told
	NowAt boottime.Instant // when Now was told, 0 for never

	ReadTokens  float64 // prompt tokens of requests whose first event has come
	ReadSeconds float64 // time until those first events
	Streams     float64 // streams that have ended whole
	Late        float64 // those of them that were late
}

// Merge returns what both observations tell together, the other being of other routers.
// Both must be as of the same moment.
func (o Observation) Merge(other Observation) Observation {
	o.Usual = leastKnown(o.Usual, other.Usual)
	switch {
	case other.NowAt > o.NowAt:
		o.Now, o.NowAt = other.Now, other.NowAt
	case other.NowAt == o.NowAt:
		o.Now = max(o.Now, other.Now) // whichever of them is merged into the other
	}
	o.ReadTokens += other.ReadTokens
	o.ReadSeconds += other.ReadSeconds
	o.Streams += other.Streams
	o.Late += other.Late
	return o
}

// leastKnown returns the smaller of two work times of which 0 stands for unknown.
func leastKnown(a, b float64) float64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// Decayed returns what is left of the observation when the time has passed.
func (o Observation) Decayed(passed time.Duration) Observation {
	if passed <= 0 {
		return o
	}
	if passed >= MaxAge {
		o.Usual = 0
	}
	left := math.Exp(-passed.Seconds() / sumMemory.Seconds())
	o.ReadTokens *= left
	o.ReadSeconds *= left
	o.Streams *= left
	o.Late *= left
	return o
}

// Current returns the current work time at the moment, 0 if it is unknown.
func (o Observation) Current(now boottime.Instant) float64 {
	if o.NowAt == 0 || now.Sub(o.NowAt) > nowLife {
		return 0
	}
	return o.Now
}

// Slowed tells whether the server works clearly slower at the moment than it usually
// does.
func (o Observation) Slowed(now boottime.Instant) bool {
	current := o.Current(now)
	return current > 0 && current >= slowedRatio*o.Usual
}
