package membership

import "time"

const (
	// SuspectThreshold is the number of failed calls in a row that makes a node
	// suspected. One or two may fail for a connection that has gone silent.
	SuspectThreshold = 3
	// SuspicionTTL is the time after which a suspected node is tried again.
	SuspicionTTL = 5 * time.Second
)

// suspicion is what failed calls to one node have led to.
type suspicion struct {
	failures int
	until    time.Time
}

// fail counts a failed call.
func (s *suspicion) fail(now time.Time) {
	s.failures++
	if s.failures >= SuspectThreshold {
		s.until = now.Add(SuspicionTTL)
	}
}

// clear forgets the failures, since the node has been heard.
func (s *suspicion) clear() { *s = suspicion{} }

// active tells whether the node is suspected. After SuspectFor a single
// failure is enough to suspect it again.
func (s *suspicion) active(now time.Time) bool { return now.Before(s.until) }
