package gate

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// streamTiming records whether the events of a stream arrive in time.
type streamTiming struct {
	firstDeadline boottime.Instant // of the first event, 0 for none
	maxGap        time.Duration    // maximum time between two events, 0 for none
	last          boottime.Instant // when the last event arrived, 0 before the first
	late          bool
}

func newStreamTiming(request *Request) *streamTiming {
	timing := &streamTiming{maxGap: request.Route.TargetGap}
	if target := request.Route.TargetLatency; target > 0 {
		timing.firstDeadline = request.Received.Add(target)
	}
	return timing
}

// recordEvent records the time of an event and reports whether it is the first.
func (t *streamTiming) recordEvent(now boottime.Instant) bool {
	isFirst := t.last == 0
	switch {
	case isFirst:
		t.late = t.firstDeadline != 0 && now > t.firstDeadline
	case t.maxGap > 0 && now.Sub(t.last) > t.maxGap:
		t.late = true
	}
	t.last = now
	return isFirst
}
