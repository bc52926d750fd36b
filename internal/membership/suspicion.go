package membership

import "time"

const (
	// SuspectThreshold is the number of consecutive failed calls after which a
	// node is suspected. One or two may fail because of a stalled connection.
	SuspectThreshold = 3
	// SuspicionTTL is the time after which a suspected node is tried again.
	SuspicionTTL = 5 * time.Second
)

// suspicion tracks the failed calls to one node.
type suspicion struct {
	failures int
	until    time.Time
}

// recordFailure counts a failed call and starts a suspicion at
// SuspectThreshold.
func (s *suspicion) recordFailure(now time.Time) {
	s.failures++
	if s.failures >= SuspectThreshold {
		s.until = now.Add(SuspicionTTL)
	}
}

// reset clears the failures after a message from the node.
func (s *suspicion) reset() { *s = suspicion{} }

// active reports whether the node is suspected. After SuspicionTTL a single
// failure is enough to suspect it again.
func (s *suspicion) active(now time.Time) bool { return now.Before(s.until) }
