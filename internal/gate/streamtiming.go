package gate

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// streamTiming watches whether the events of a stream come in time.
type streamTiming struct {
	firstDeadline boottime.Instant // until when the first event is in time, 0 for always
	maxGap        time.Duration    // longest pause in time, 0 for any
	last          boottime.Instant // when the last event came, 0 before the first
	late          bool
}

func newStreamTiming(request *Request) *streamTiming {
	p := &streamTiming{maxGap: request.Route.TargetGap}
	if target := request.Route.TargetLatency; target > 0 {
		p.firstDeadline = request.Received.Add(target)
	}
	return p
}

// recordEvent takes the moment of an event and returns whether it is the first.
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
