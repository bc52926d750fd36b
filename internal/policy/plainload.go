package policy

import (
	"math"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// Routers that share plain servers report their requests to each other with a delay of
// several service times. If they relied on these reports alone, all of them would send
// while a server seems free and stop once it is full.

const (
	// plainLoadTimeConstant is the time constant of the averages. It is a multiple of the
	// reporting delay, which therefore hardly affects the averages.
	plainLoadTimeConstant = 2 * time.Second
	// plainSaturated is the average slot utilisation from which delayed reports no longer
	// describe the present load.
	plainSaturated = 0.9
	// plainMinShare is the smallest own share that a router assumes, as a fraction of an
	// even share, so that a router without requests can start sending.
	plainMinShare = 0.5
	// plainDitherInterval is how long a router keeps a dither value while its own request
	// count at the server is unchanged. With a new value for each request, callers would
	// retry until one is admitted, and a saturated server would get more than it can
	// process.
	plainDitherInterval = 500 * time.Millisecond
)

// PlainLoad estimates the number of requests at one plain server. While the server is
// saturated, it scales up the router's own requests, whose number is always current, by
// their share of all requests in the last seconds.
type PlainLoad struct {
	own, total float64 // decayed averages
	updatedAt  boottime.Instant
	dither     float64 // current dither value
	ditherOwn  int     // own requests for which dither was set
	ditherAt   boottime.Instant
}

// PlainCounts are the requests at a plain server that a router knows of.
type PlainCounts struct {
	Own     int // sent by this router
	Others  int // sent by other routers, by their last reports
	Slots   int
	Routers int // routers that send requests there, including this one
}

// Estimate records the counts and returns the estimated number of requests at the server.
//
// dither is a random number in [0, 1). A router's part of the slots is rarely a whole
// number of requests, so dither is added to its own requests before they are scaled up. It
// is first multiplied by the amount, at most 1, by which the average utilisation exceeds
// plainSaturated. Without that factor, many requests would be refused that a server just
// above this utilisation could take; with a much smaller one, an overloaded server would
// get too many.
func (l *PlainLoad) Estimate(counts PlainCounts, dither float64, now boottime.Instant) int {
	known := counts.Own + counts.Others
	now = max(now, l.updatedAt) // an earlier time would give a negative weight
	weight := 1 - math.Exp(-now.Sub(l.updatedAt).Seconds()/plainLoadTimeConstant.Seconds())
	l.updatedAt = now
	l.own += (float64(counts.Own) - l.own) * weight
	l.total += (float64(known) - l.total) * weight
	if l.total < plainSaturated*float64(counts.Slots) || counts.Slots <= 0 {
		return known
	}
	if counts.Own != l.ditherOwn || now.Sub(l.ditherAt) > plainDitherInterval {
		l.dither, l.ditherOwn, l.ditherAt = dither, counts.Own, now
	}
	rounding := l.dither * min(l.total/float64(counts.Slots)-plainSaturated, 1)
	ownShare := max(l.own/l.total, plainMinShare/float64(max(counts.Routers, 1)))
	return int((float64(counts.Own) + rounding) / ownShare)
}
