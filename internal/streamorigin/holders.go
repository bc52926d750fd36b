package streamorigin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Any router may be asked for a stream that another one began, also after that one was
// killed. So each origin is kept by a few other routers, which follow from the stream's hash:
// every router finds them without an agreement, and each keeps an equal part. Two are enough
// to bear the loss of the first router and of one more.
//
// The router that is asked knows neither the one that began the stream nor its zone, and this
// one may stand before a holder in its zone's order, lost or not. So the first routers of a few
// zones are asked; the holders are among these whichever router began the stream.

const (
	// holdersWanted is how many other routers keep an origin.
	holdersWanted = 2
	// rankedPerZone is how many routers of a zone may be asked: in a fleet of one zone both
	// holders, and the router that began the stream.
	rankedPerZone = 3
	// askedZones and maxAsked bound the zones, and the routers, that are asked for an origin.
	askedZones = 4
	maxAsked   = 8
)

// Router is another router that is reachable.
type Router struct {
	Address fleet.Address
	Hash    uint64 // of the address
	Zone    fleet.Zone
}

// Holders returns the routers to which a router in the zone sends the origin of a stream. Where
// all zones are asked, one is of its own zone, which its callers reach first without it, and which
// a partition between zones does not cut off.
func Holders(stream Stream, zone fleet.Zone, others []Router) []fleet.Address {
	zones := rankByZone(stream, others)
	own := slices.IndexFunc(zones, func(z zoneRanking) bool { return z.zone == zone })
	count := len(zones)
	if own < 0 {
		count++ // this router's zone has no others
	}
	if own > 0 && count <= askedZones {
		first := zones[own]
		zones = slices.Insert(slices.Delete(zones, own, own+1), 0, first)
	}
	return pick(zones, holdersWanted)
}

// Asked returns the routers to ask for the origin of a stream.
func Asked(stream Stream, others []Router) []fleet.Address {
	zones := rankByZone(stream, others)
	return pick(zones[:min(len(zones), askedZones)], maxAsked)
}

// pick returns up to limit routers: the first one of each zone, then the second ones, and so on.
func pick(zones []zoneRanking, limit int) []fleet.Address {
	var picked []fleet.Address
	for place := range rankedPerZone {
		for _, ranking := range zones {
			if len(picked) < limit && place < len(ranking.first) {
				picked = append(picked, ranking.first[place].Address)
			}
		}
	}
	return picked
}

// zoneRanking holds the first routers of a zone in a stream's order.
type zoneRanking struct {
	zone  fleet.Zone
	rank  uint64 // of the zone
	first []Router
}

// rankByZone returns the first rankedPerZone routers of each zone in the stream's order, the
// first zone first.
func rankByZone(stream Stream, routers []Router) []zoneRanking {
	var zones []zoneRanking
	for _, router := range routers {
		at := slices.IndexFunc(zones, func(z zoneRanking) bool { return z.zone == router.Zone })
		if at < 0 {
			at = len(zones)
			zones = append(zones, zoneRanking{zone: router.Zone, rank: rank(stream, xxhash.Sum64String(string(router.Zone)))})
		}
		zones[at].add(stream, router)
	}
	slices.SortFunc(zones, func(a, b zoneRanking) int { return cmp.Compare(a.rank, b.rank) })
	return zones
}

// add inserts the router if it is among the first of its zone.
func (z *zoneRanking) add(stream Stream, router Router) {
	at, _ := slices.BinarySearchFunc(z.first, rank(stream, router.Hash), func(known Router, target uint64) int {
		return cmp.Compare(rank(stream, known.Hash), target)
	})
	if at < rankedPerZone {
		z.first = slices.Insert(z.first, at, router)
		z.first = z.first[:min(len(z.first), rankedPerZone)]
	}
}

// rank returns the place of a router or zone, by its hash, in the stream's order: a
// pseudo-random number (the finalizer of SplitMix64).
func rank(stream Stream, hash uint64) uint64 {
	x := uint64(stream) ^ hash
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
