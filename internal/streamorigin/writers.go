package streamorigin

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// neededShare is the share of the store's writes that origins may use while a stream of
	// unknown origin can't be taken up, spareShare otherwise: then the records are used only
	// if all routers start at once.
	neededShare = 0.025
	spareShare  = 0.0025
	// maxWritesPerSecond bounds the first share at a store that takes more writes than the smallest
	// one: further writes cost more than the streams are worth that are known by them.
	maxWritesPerSecond = 20
	// spareWriters is the number of writers in the second case.
	spareWriters = 5
	// minWriters and maxWriters bound their number in the first case. The fewer they are, the more
	// often each may write, and the fewer streams are unknown when all routers are killed.
	minWriters = 2
	maxWriters = 32
	// routersPerWriter bounds what a writer receives, and then writes, from others.
	routersPerWriter = 36
	// minWritePeriod is the least time between two writes of a router. maxWritePeriod is the longest
	// one, unless the store takes fewer writes.
	minWritePeriod = 100 * time.Millisecond
	maxWritePeriod = time.Second
)

// Plan says how many routers write origins, and how often each does.
type Plan struct {
	Writers int
	Period  time.Duration
}

// PlanWrites returns the plan of so many routers for a store that takes so many writes a second from
// all of them. needed tells that a stream of unknown origin can't be taken up. A plan without writers
// writes nothing.
func PlanWrites(writesPerSecond, routers int, needed bool) Plan {
	if writesPerSecond <= 0 {
		return Plan{}
	}
	perSecond, writers := float64(writesPerSecond)*spareShare, spareWriters
	if needed {
		perSecond = min(float64(writesPerSecond)*neededShare, maxWritesPerSecond)
		writers = lo.Clamp(routers/routersPerWriter+1, minWriters, maxWriters)
		writers = lo.Clamp(int(perSecond*maxWritePeriod.Seconds()), 1, writers)
	}
	writers = lo.Clamp(routers, 1, writers)
	period := time.Duration(float64(writers) / perSecond * float64(time.Second))
	return Plan{Writers: writers, Period: max(period, minWritePeriod)}
}

// Writers returns the routers that write origins: the first of each zone by hash, then the second
// ones, and so on. Routers that know different others may disagree; then some records are missing
// or written twice.
func Writers(routers []Router, limit int) []Router {
	byZone := lo.Values(lo.GroupBy(routers, func(router Router) fleet.Zone { return router.Zone }))
	for _, zone := range byZone {
		slices.SortFunc(zone, func(a, b Router) int { return cmp.Compare(a.Hash, b.Hash) })
	}
	slices.SortFunc(byZone, func(a, b []Router) int {
		return cmp.Compare(xxhash.Sum64String(string(a[0].Zone)), xxhash.Sum64String(string(b[0].Zone)))
	})
	writers := lo.Interleave(byZone...)
	return writers[:min(len(writers), limit)]
}

// WriterOf returns the router that writes the origins of a router in the zone that is no writer
// itself. Bytes between zones cost more, so it is one of the zone if there is one.
func WriterOf(stream Stream, zone fleet.Zone, writers []Router) (Router, bool) {
	candidates := lo.Filter(writers, func(router Router, _ int) bool { return router.Zone == zone })
	if len(candidates) == 0 {
		candidates = writers
	}
	if len(candidates) == 0 {
		return Router{}, false
	}
	return lo.MinBy(candidates, func(a, b Router) bool { return rank(stream, a.Hash) < rank(stream, b.Hash) }), true
}
