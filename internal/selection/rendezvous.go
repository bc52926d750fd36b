package selection

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the rendezvous weight of a backend server for a key, given the hash of
// the server's id. All routers compute the same weights, so without coordination they
// send requests with a common prompt segment to the same backend server, which reads the
// segment once. When a backend server joins or leaves, only the keys that it has or had
// move.
func Weight(key, backend uint64) uint64 { return mix(key ^ backend) }

// Hash returns the hash of a key or of a backend server's id for Weight.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// Rank returns the indices of the engines that the key prefers most, in order of
// preference, at most count of them. hash returns the hash of an engine's id.
func Rank[Backend any](list []Backend, hash func(Backend) uint64, key uint64, count int) []int {
	count = min(count, len(list))
	ranked := make([]int, 0, count)
	weights := make([]uint64, 0, count)
	for i, backend := range list {
		weight := Weight(key, hash(backend))
		switch {
		case len(ranked) < count:
			ranked, weights = append(ranked, i), append(weights, weight)
		case count > 0 && weight > weights[count-1]:
			ranked[count-1], weights[count-1] = i, weight
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

// RankWeighted is like Rank, but each engine is preferred by a number of keys in
// proportion to its weight: an engine of twice the weight comes first for twice as many
// keys. When a weight changes, only keys move that the engine gains or loses by it.
// weights are in the order of the list and must be positive.
func RankWeighted[Backend any](list []Backend, hash func(Backend) uint64, weights []float64, key uint64, count int) []int {
	count = min(count, len(list))
	ranked := make([]int, 0, count)
	costs := make([]float64, 0, count)
	for i, backend := range list {
		point := unitPoint(Weight(key, hash(backend)))
		// -ln(p) is at least 1-p, which avoids the logarithm for nearly all engines.
		if count > 0 && len(ranked) == count && 1-point >= costs[count-1]*weights[i] {
			continue
		}
		cost := -math.Log(point) / weights[i]
		switch {
		case len(ranked) < count:
			ranked, costs = append(ranked, i), append(costs, cost)
		case count > 0 && cost < costs[count-1]:
			ranked[count-1], costs[count-1] = i, cost
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

// unitPoint maps a hash to a number in the open interval (0, 1).
func unitPoint(hash uint64) float64 {
	const bits = 53 // mantissa bits of a float64
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}

// mix spreads the bits of a value (the finalizer of SplitMix64). Without it, the weights
// of two keys would order the backend servers alike.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
