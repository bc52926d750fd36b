package policy

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// A plain server may slow down or fail requests immediately, and its answers take longer
// while requests that the router does not know of are queued there. The estimate of its
// service time takes both into account.

const (
	// serviceTimeInitialAnswers is the number of first answers of which the shortest time
	// counts. A router that starts beside busy servers does not know their queues yet,
	// and queueing only makes answers take longer.
	serviceTimeInitialAnswers = 8
	// serviceTimeGain is the weight of each later answer.
	serviceTimeGain = 0.1
	// serviceTimeMaxRatio limits a single answer to this multiple of the estimate.
	serviceTimeMaxRatio = 4
)

// SentPlainRequest is a request that has been sent to a plain server.
type SentPlainRequest struct {
	At     boottime.Instant
	Rounds float64 // see PlainRounds
}

// ServiceTime estimates how long a plain server takes for one request without a wait.
type ServiceTime struct {
	seconds        float64
	answers        int // up to serviceTimeInitialAnswers
	inFlight       map[*SentPlainRequest]struct{}
	answeredSentAt boottime.Instant // latest send time of an answered request
}

// Begin records that a request is sent.
func (s *ServiceTime) Begin(sent *SentPlainRequest) {
	if s.inFlight == nil {
		s.inFlight = make(map[*SentPlainRequest]struct{})
	}
	s.inFlight[sent] = struct{}{}
}

// End records that a request is no longer at the server.
func (s *ServiceTime) End(sent *SentPlainRequest) { delete(s.inFlight, sent) }

// Observe records the elapsed time of a valid answer. Failed requests must not be
// recorded: a server that fails requests immediately does no work.
func (s *ServiceTime) Observe(sent *SentPlainRequest, elapsed time.Duration) {
	s.answeredSentAt = max(s.answeredSentAt, sent.At)
	work := elapsed.Seconds() / sent.Rounds
	switch {
	case s.answers == 0:
		s.seconds = work
	case s.answers < serviceTimeInitialAnswers:
		s.seconds = min(s.seconds, work)
	default:
		// The elapsed time may include a suspension of this router, during which the
		// answer waited to be read. A server that has slowed down also shows by its
		// requests in flight.
		work = min(work, s.seconds*serviceTimeMaxRatio)
		s.seconds += (work - s.seconds) * serviceTimeGain
		return
	}
	s.answers++
}

// Learned returns the estimate from answers, 0 before the first one.
func (s *ServiceTime) Learned() time.Duration {
	return time.Duration(s.seconds * float64(time.Second))
}

// At returns the estimated service time at the given time; assumed stands for it until
// the first answer. Requests in flight that have waited for longer than the estimate
// explains raise it, since a server that has slowed down answers too rarely to show it in
// time. Requests sent before one that has been answered are ignored: their delay is due
// to their own work, not to the server.
func (s *ServiceTime) At(now boottime.Instant, assumed time.Duration) time.Duration {
	work := assumed
	if s.answers > 0 {
		work = s.Learned()
	}
	for sent := range s.inFlight {
		if sent.At >= s.answeredSentAt {
			work = max(work, time.Duration(float64(now.Sub(sent.At))/sent.Rounds))
		}
	}
	return work
}

// RemainingTime returns for how long a failed request still counts as running at its
// server: until its answer would have been expected. Otherwise a server that fails
// requests immediately would seem to have free slots and attract requests that wait
// elsewhere.
func (s *ServiceTime) RemainingTime(sent *SentPlainRequest, now boottime.Instant) time.Duration {
	expected := time.Duration(s.seconds * sent.Rounds * float64(time.Second))
	return max(expected-now.Sub(sent.At), 0)
}
