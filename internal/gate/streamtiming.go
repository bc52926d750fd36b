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
	p := &streamTiming{maxGap: request.Route.TargetGap}
	if target := request.Route.TargetLatency; target > 0 {
		p.firstDeadline = request.Received.Add(target)
	}
	return p
}

// recordEvent records the time of an event and reports whether it is the first.
func (p *streamTiming) recordEvent(now boottime.Instant) bool {
	began := p.last == 0
	switch {
	case began:
		p.late = p.firstDeadline != 0 && now > p.firstDeadline
	case p.maxGap > 0 && now.Sub(p.last) > p.maxGap:
		p.late = true
	}
	p.last = now
	return began
}
