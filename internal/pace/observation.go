package pace

import (
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
func (o Observation) Merge(other Observation) Observation {
	return Observation{}
}

// After returns what is left of the observation when the time has passed.
func (o Observation) After(passed time.Duration) Observation {
	return Observation{}
}
