package selection

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the rendezvous weight of a backend server, by the hash of its
// id, for a key. All
// routers compute the same weights, so without talking to each other they send
// requests that share a prompt part to the same backend server, which reads
// the part once. When a backend server comes or goes, only the keys that it
// wins or had won move.
func Weight(key, backend uint64) uint64 { return mix(key ^ backend) }

// Hash returns the hash of a key, or of a backend server's id, for Weight.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// Rank returns the positions in the list of the engines that the key prefers
// most, the first one first: so many, or fewer when the list is shorter. hash
// returns the hash of an engine's id.
func Rank[Backend any](list []Backend, hash func(Backend) uint64, key uint64, most int) []int {
	most = min(most, len(list))
	ranked := make([]int, 0, most)
	weights := make([]uint64, 0, most)
	for i, backend := range list {
		weight := Weight(key, hash(backend))
		switch {
		case len(ranked) < most:
			ranked, weights = append(ranked, i), append(weights, weight)
		case most > 0 && weight > weights[most-1]:
			ranked[most-1], weights[most-1] = i, weight
		default:
			continue
		}
		for place := len(ranked) - 1; place > 0 && weights[place] > weights[place-1]; place-- {
			ranked[place], ranked[place-1] = ranked[place-1], ranked[place]
			weights[place], weights[place-1] = weights[place-1], weights[place]
		}
	}
	return ranked
}

// RankWeighted is like Rank for engines that are to be preferred by so many keys in
// proportion to their weights, which must be above 0: an engine of twice the weight
// comes first for twice the keys. When a weight changes, only keys that the engine wins
// or loses by it move. weights are in the order of the list.
func RankWeighted[Backend any](list []Backend, hash func(Backend) uint64, weights []float64, key uint64, most int) []int {
	most = min(most, len(list))
	ranked := make([]int, 0, most)
	costs := make([]float64, 0, most)
	for i, backend := range list {
		point := unitPoint(Weight(key, hash(backend)))
		// -ln(p) is never below 1-p, which spares the logarithm for nearly all engines.
		if most > 0 && len(ranked) == most && 1-point >= costs[most-1]*weights[i] {
			continue
		}
		cost := -math.Log(point) / weights[i]
		switch {
		case len(ranked) < most:
			ranked, costs = append(ranked, i), append(costs, cost)
		case most > 0 && cost < costs[most-1]:
			ranked[most-1], costs[most-1] = i, cost
		default:
			continue
		}
		for place := len(ranked) - 1; place > 0 && costs[place] < costs[place-1]; place-- {
			ranked[place], ranked[place-1] = ranked[place-1], ranked[place]
			costs[place], costs[place-1] = costs[place-1], costs[place]
		}
	}
	return ranked
}

// unitPoint maps a hash to a point between 0 and 1, both excluded.
func unitPoint(hash uint64) float64 {
	const bits = 53 // of a float's mantissa
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}

// mix spreads the bits of a value (the finalizer of SplitMix64). Without it
// the weights of two keys would order the backend servers alike.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
