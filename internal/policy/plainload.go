package policy

import (
	"math"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// Estimate of the requests at plain servers that many routers share. Routers report
// their requests to each other with a delay of several service times. If they went by
// these reports alone, all would send while a server seems free and all would stop
// once it is full.

const (
	// plainLoadLife is the time constant of the averages. It is a multiple of the delay
	// of other routers' reports, so that the delay hardly changes the averages.
	plainLoadLife = 2 * time.Second
	// plainCrowded is the average part of the slots in use from which what is
	// heard says too little of what is there now.
	plainCrowded = 0.9
	// plainLeastPart is the part of an even share that a router counts with at
	// least, so that one which had no requests gets some.
	plainLeastPart = 0.5
	// plainDitherLife is how long a router keeps to one draw while its own requests
	// at the server stay the same. With a draw for each request, callers would come
	// back until one let them in, and a crowded server would get more than it can do.
	plainDitherLife = 500 * time.Millisecond
)

// PlainLoad estimates the requests at one plain server. While the server is crowded,
// the router goes by its own requests, which it knows at once, and by the part that
// these were of all requests in the last seconds.
type PlainLoad struct {
	own, total float64 // decayed averages
	noted      boottime.Instant
	dither     float64 // the last draw
	drawnFor   int     // requests of this router
	drawn      boottime.Instant
}

// PlainCounts is what a router knows of the requests at a plain server.
type PlainCounts struct {
	Own     int // of this router
	Others  int // of other routers, as they told last
	Slots   int
	Routers int // that send requests there, this one included
}

// Estimate notes what is seen and returns how many requests are expected at the
// server. dither is a random number in [0, 1): a router whose part is not a whole
// number of requests rounds it up now and then, the less often the more crowded the
// server is: a full dither at any load refuses many requests that a server which is
// just full could take, and a small one admits too many to a crowded one.
func (l *PlainLoad) Estimate(seen PlainCounts, dither float64, now boottime.Instant) int {
	heard := seen.Own + seen.Others
	now = max(now, l.noted) // the weight of an earlier moment would be negative
	weight := 1 - math.Exp(-now.Sub(l.noted).Seconds()/plainLoadLife.Seconds())
	l.noted = now
	l.own += (float64(seen.Own) - l.own) * weight
	l.total += (float64(heard) - l.total) * weight
	if l.total < plainCrowded*float64(seen.Slots) || seen.Slots <= 0 {
		return heard
	}
	if seen.Own != l.drawnFor || now.Sub(l.drawn) > plainDitherLife {
		l.dither, l.drawnFor, l.drawn = dither, seen.Own, now
	}
	rounding := l.dither * min(l.total/float64(seen.Slots)-plainCrowded, 1)
	part := max(l.own/l.total, plainLeastPart/float64(max(seen.Routers, 1)))
	return int((float64(seen.Own) + rounding) / part)
}
