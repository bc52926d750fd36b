package pace

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// Estimate is what is expected of a backend server.
type Estimate struct {
	// Told tells that the server tells how long work takes there. Where it is false, all
	// other fields are those of an average server.
	Told  bool
	Usual float64 // usual work time, 1 if unknown
	Now   float64 // work time at the moment, Usual if unknown
	// Rate is how many prompt tokens the engine reads in a second at its usual work
	// time, 0 if unknown.
	Rate float64
	Late float64       // share of late streams
	Age  time.Duration // since it told a work time last
}

// Speed returns how fast the server usually works, 1 being an average machine.
func (e Estimate) Speed() float64 { return 1 / e.Usual }

// Snapshot holds the estimates of a moment. It does not change.
type Snapshot struct{}

// NewSnapshot merges what this router and the others know. serviceRate returns the
// prompt tokens that an engine of the server's service reads in a second at work time 1.
func NewSnapshot(own, others map[uint32]Observation, serviceRate func(server uint32) float64, now boottime.Instant) *Snapshot {
	return &Snapshot{}
}

// Engine returns what is expected of a backend server.
func (s *Snapshot) Engine(server uint32) Estimate { return Estimate{Usual: 1, Now: 1} }
