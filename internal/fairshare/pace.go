package fairshare

import (
	"math"
	"time"
)

const (
	// horizonIntervals is the horizon of the clocks in report intervals.
	horizonIntervals = 1.5
	// paceMemory is the part of the measured pace that is kept at each
	// measurement.
	paceMemory = 0.9
	// paceRequests is the number of requests over which the usual charge at
	// a beginning is averaged.
	paceRequests = 16
)

// pace measures how fast a slot gives service.
type pace struct {
	at     time.Time
	given  Units   // since at
	units  float64 // fading sum of units given
	slots  float64 // fading sum of the seconds of slots in use
	begins Units   // usual charge of a request at its beginning
}

// began notes the charge of a request at its beginning.
func (p *pace) began(pending Units) {
	if p.begins == 0 {
		p.begins = pending
	}
	p.begins += (pending - p.begins) / paceRequests
}

// measure notes the service given since the last measurement and returns the
// seconds since then.
func (p *pace) measure(now time.Time, running int) float64 {
	elapsed := 0.0
	if !p.at.IsZero() {
		elapsed = max(0, now.Sub(p.at).Seconds())
	}
	if elapsed > 0 {
		p.units = p.units*paceMemory + float64(p.given)
		p.slots = p.slots*paceMemory + elapsed*float64(running)
	}
	p.at = now
	p.given = 0
	return elapsed
}

// known tells whether any service has been measured.
func (p *pace) known() bool { return p.units > 0 && p.slots > 0 }

// unitsIn is the service that a slot gives within a duration. The pace must be
// known.
func (p *pace) unitsIn(span time.Duration) Units {
	return Units(p.units / p.slots * span.Seconds())
}

// Advance measures the pace of this agent's slots. Call it once in a report
// interval, before the reports. Without it whole estimates are charged.
func (c *Clocks) Advance(now time.Time) {
	c.interval++
	elapsed := c.pace.measure(now, len(c.runs))
	for _, r := range c.runs {
		if r.seconds == 0 {
			r.seconds = elapsed / 2 // it began at some time since then
		} else {
			r.seconds += elapsed
		}
		c.pend(r)
	}
}

// horizon is the service of one slot that the clocks look ahead. While the
// pace is unknown, whole estimates count.
func (c *Clocks) horizon() Units {
	if !c.pace.known() {
		return Units(math.Inf(1))
	}
	return c.pace.unitsIn(time.Duration(horizonIntervals * float64(c.config.ReportInterval)))
}
