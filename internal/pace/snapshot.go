package pace

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// priorSeconds is the weight of the service's rate in an engine's own, in seconds of
	// reading. Cached segments and streams in progress make single observations vary
	// widely.
	priorSeconds = 5
	// contradictionSeconds is how much reading must have been observed before it counts
	// against a reported work time. Single requests prove little.
	contradictionSeconds = 5
	// contradictionRatio is how many times slower or faster than reported an engine must
	// be for that. A smaller difference can be due to the requests that the engine
	// happens to get.
	contradictionRatio = 4
)

// Estimate is the estimated speed of a backend server.
type Estimate struct {
	// HasReport reports whether the server reports its work time. If it doesn't, all
	// other fields are those of an average server.
	HasReport bool
	Usual     float64 // usual work time, 1 if unknown
	Now       float64 // current work time, Usual if unknown
	// Rate is how many prompt tokens the engine reads per second at its usual work time,
	// 0 while the rate of the service is unknown.
	Rate float64
	Late float64       // fraction of late streams
	Age  time.Duration // since its last report to this router, negative if only other routers have one

	Reported float64 // usual work time as reported by the server, 0 if unknown
	Seen     float64 // work time by observation, 0 if too little was observed
	// Contradicted reports whether Reported and Seen differ so much that Seen is used.
	Contradicted bool
}

// averageEstimate is the estimate for a server of which nothing is known.
var averageEstimate = Estimate{Usual: 1, Now: 1, Age: -1}

// Speed returns how fast the server usually works, where 1 is an average machine.
func (e Estimate) Speed() float64 { return 1 / e.Usual }

// Slowdown returns the ratio of the server's current to its usual work time, 1 if
// unknown.
func (e Estimate) Slowdown() float64 { return e.Now / e.Usual }

// Snapshot holds the estimates as of one time. It is immutable.
type Snapshot struct{ estimates map[uint32]Estimate }

// NewSnapshot merges the observations of this router and the others as of the given time.
// serviceRate returns how many prompt tokens an engine of the server's service reads per
// second at work time 1, or 0 if that is unknown; reported work times are not checked
// then.
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

// add adds the estimate for a server, unless it has reported no work time recently.
func (s *Snapshot) add(server uint32, observation Observation, serviceRate func(server uint32) float64, now boottime.Instant) {
	if observation.Usual > 0 {
		s.estimates[server] = estimate(observation, serviceRate(server), now)
	}
}

// estimate returns the estimate for a server that reports its work time.
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
	e.compareWithObserved(observation, serviceRate)
	if serviceRate > 0 {
		prior := serviceRate / e.Usual
		e.Rate = (observation.ReadTokens + prior*priorSeconds) / (observation.ReadSeconds + priorSeconds)
	}
	return e
}

// compareWithObserved compares the reported work time with the observed one, which
// replaces it if the two contradict each other.
func (e *Estimate) compareWithObserved(observation Observation, serviceRate float64) {
	if serviceRate <= 0 || observation.ReadSeconds < contradictionSeconds || observation.ReadTokens <= 0 {
		return
	}
	observed := serviceRate * observation.ReadSeconds / observation.ReadTokens
	e.Seen = min(max(observed, MinWorkTime), MaxWorkTime)
	if e.Seen > contradictionRatio*e.Reported || e.Seen*contradictionRatio < e.Reported {
		e.Contradicted, e.Usual, e.Now = true, e.Seen, e.Seen
	}
}

// Engine returns the estimate for a backend server.
func (s *Snapshot) Engine(server uint32) Estimate {
	if known, ok := s.estimates[server]; ok {
		return known
	}
	return averageEstimate
}

// Each calls the function for each server that reports a work time, in no particular
// order.
func (s *Snapshot) Each(visit func(server uint32, estimate Estimate)) {
	for server, known := range s.estimates {
		visit(server, known)
	}
}
