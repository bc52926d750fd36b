package pace

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// priorSeconds is the weight of the service's rate in an engine's own, in seconds
	// of reading. Kept parts and streams in progress make single figures differ widely.
	priorSeconds = 5
	// contradictionSeconds is the reading that must have been seen before it counts
	// against what a server reports. Single requests say little.
	contradictionSeconds = 5
	// contradictionRatio is how many times slower or faster than reported an engine must
	// be for that. Below it, what an engine happens to get explains the difference.
	contradictionRatio = 4
)

// Estimate is what is expected of a backend server.
type Estimate struct {
	// HasReport tells that the server tells how long work takes there. Where it is false, all
	// other fields are those of an average server.
	HasReport bool
	Usual     float64 // usual work time, 1 if unknown
	Now       float64 // work time at the moment, Usual if unknown
	// Rate is how many prompt tokens the engine reads in a second at its usual work
	// time, 0 while that of the service is unknown.
	Rate float64
	Late float64       // share of late streams
	Age  time.Duration // since it told this router a work time, negative if only others were told

	Reported float64 // usual work time as the server tells it, 0 if unknown
	Seen     float64 // work time by what was seen, 0 if too little was
	// Contradicted tells that Reported and Seen lie so far apart that Seen counts.
	Contradicted bool
}

// average is expected of a server of which nothing is known.
var average = Estimate{Usual: 1, Now: 1, Age: -1}

// Speed returns how fast the server usually works, 1 being an average machine.
func (e Estimate) Speed() float64 { return 1 / e.Usual }

// Slowdown returns how long work takes at the server at the moment, in parts of its
// usual time, 1 if unknown.
func (e Estimate) Slowdown() float64 { return e.Now / e.Usual }

// Snapshot holds the estimates of a moment. It does not change.
type Snapshot struct{ estimates map[uint32]Estimate }

// NewSnapshot merges what this router and the others know, as of the moment.
// serviceRate returns the prompt tokens that an engine of the server's service reads in
// a second at work time 1, 0 if unknown: nothing is contradicted then.
func NewSnapshot(own, others map[uint32]Observation, serviceRate func(server uint32) float64, now boottime.Instant) *Snapshot {
	s := &Snapshot{estimates: make(map[uint32]Estimate, max(len(own), len(others)))}
	for server, observation := range own {
		s.add(server, observation.Merge(others[server]), serviceRate, now)
	}
	for server, observation := range others {
		if _, known := own[server]; !known {
			s.add(server, observation, serviceRate, now)
		}
	}
	return s
}

func (s *Snapshot) add(server uint32, observation Observation, serviceRate func(server uint32) float64, now boottime.Instant) {
	if observation.Usual > 0 {
		s.estimates[server] = estimate(observation, serviceRate(server), now)
	}
}

// estimate returns what is expected of a server that tells its work time.
func estimate(observation Observation, serviceRate float64, now boottime.Instant) Estimate {
	e := Estimate{HasReport: true, Usual: observation.Usual, Now: observation.Usual, Age: -1, Reported: observation.Usual}
	if current := observation.Current(now); current > 0 {
		e.Now = current
	}
	if observation.NowAt != 0 {
		e.Age = now.Sub(observation.NowAt)
	}
	if observation.Streams > 0 {
		e.Late = min(observation.Late/observation.Streams, 1)
	}
	e.check(observation, serviceRate)
	if serviceRate > 0 {
		prior := serviceRate / e.Usual
		e.Rate = (observation.ReadTokens + prior*priorSeconds) / (observation.ReadSeconds + priorSeconds)
	}
	return e
}

// check compares what the server reports with what was seen, which counts if the two
// contradict each other.
func (e *Estimate) check(observation Observation, serviceRate float64) {
	if serviceRate <= 0 || observation.ReadSeconds < contradictionSeconds || observation.ReadTokens <= 0 {
		return
	}
	seen := serviceRate * observation.ReadSeconds / observation.ReadTokens
	e.Seen = min(max(seen, MinWorkTime), MaxWorkTime)
	if e.Seen > contradictionRatio*e.Reported || e.Seen*contradictionRatio < e.Reported {
		e.Contradicted, e.Usual, e.Now = true, e.Seen, e.Seen
	}
}

// Engine returns what is expected of a backend server.
func (s *Snapshot) Engine(server uint32) Estimate {
	if known, ok := s.estimates[server]; ok {
		return known
	}
	return average
}

// Each calls the function for each server that tells a work time, in no order.
func (s *Snapshot) Each(visit func(server uint32, estimate Estimate)) {
	for server, known := range s.estimates {
		visit(server, known)
	}
}
