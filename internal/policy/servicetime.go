package policy

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// Service times of plain servers. Servers turn slow or answer errors at once, and their
// answers take longer while requests of which the router has not heard wait there.

const (
	// serviceTimeFirst is how many answers count by the shortest. A router that
	// starts beside busy servers does not know yet what else waits there, and
	// waiting only makes answers take longer.
	serviceTimeFirst = 8
	// serviceTimeMemory is the weight of the newest answer after that.
	serviceTimeMemory = 0.1
	// serviceTimeStep is how many times the learned time a single answer counts at most.
	serviceTimeStep = 4
)

// SentPlainRequest is a request that has been sent to a plain server.
type SentPlainRequest struct {
	At     boottime.Instant
	Rounds float64 // see PlainRounds
}

// ServiceTime learns how long a plain server takes for one request without a wait.
type ServiceTime struct {
	seconds float64
	answers int // up to serviceTimeFirst
	open    map[*SentPlainRequest]struct{}
	passed  boottime.Instant // when the last of the answered requests was sent
}

// Begin notes that a request is sent.
func (s *ServiceTime) Begin(sent *SentPlainRequest) {
	if s.open == nil {
		s.open = make(map[*SentPlainRequest]struct{})
	}
	s.open[sent] = struct{}{}
}

// End notes that a request is not at the server any more.
func (s *ServiceTime) End(sent *SentPlainRequest) { delete(s.open, sent) }

// Observe takes a valid answer after the time since it was sent. Others are not noted:
// a server that answers errors at once does no work.
func (s *ServiceTime) Observe(sent *SentPlainRequest, took time.Duration) {
	s.passed = max(s.passed, sent.At)
	work := took.Seconds() / sent.Rounds
	switch {
	case s.answers == 0:
		s.seconds = work
	case s.answers < serviceTimeFirst:
		s.seconds = min(s.seconds, work)
	default:
		// An answer that waited while this router was suspended tells nothing of the
		// server. A server that has turned slow shows by its open requests as well.
		work = min(work, s.seconds*serviceTimeStep)
		s.seconds += (work - s.seconds) * serviceTimeMemory
		return
	}
	s.answers++
}

// Learned returns what answers have shown, 0 before the first one.
func (s *ServiceTime) Learned() time.Duration {
	return time.Duration(s.seconds * float64(time.Second))
}

// At returns the service time at a moment; assumed is that of a server which has
// not answered. Requests that wait for longer than it explains raise it: a server
// that has turned slow answers too seldom to show it in time. One that was sent before
// a request which has been answered tells of its own work, not of the server.
func (s *ServiceTime) At(now boottime.Instant, assumed time.Duration) time.Duration {
	work := assumed
	if s.answers > 0 {
		work = s.Learned()
	}
	for sent := range s.open {
		if sent.At >= s.passed {
			work = max(work, time.Duration(float64(now.Sub(sent.At))/sent.Rounds))
		}
	}
	return work
}

// RemainingTime returns how long a request that has failed still counts as one at its server:
// until its answer would have been there. A server that answers errors at once would
// else seem to have free slots and draw the requests that wait elsewhere.
func (s *ServiceTime) RemainingTime(sent *SentPlainRequest, now boottime.Instant) time.Duration {
	due := time.Duration(s.seconds * sent.Rounds * float64(time.Second))
	return max(due-now.Sub(sent.At), 0)
}
