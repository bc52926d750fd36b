package selection

import "github.com/cespare/xxhash/v2"

// Weight returns the rendezvous weight of a backend server, by the hash of its
// id, for a key. All
// routers compute the same weights, so without talking to each other they send
// requests that share a prompt part to the same backend server, which reads
// the part once. When a backend server comes or goes, only the keys that it
// wins or had won move.
func Weight(key, backend uint64) uint64 { return mix(key ^ backend) }

// Key returns the hash of a key, or of a backend server's id, for Weight.
func Key(text string) uint64 { return xxhash.Sum64String(text) }

// candidates is how many engines are considered for a key. More would share a
// prompt part among more engines, and each of them reads it anew.
const candidates = 2

// Rank returns the positions in the list of the engines that the key prefers
// most, the first one first. There are fewer when the list is shorter. hash
// returns the hash of an engine's id.
func Rank[Backend any](list []Backend, hash func(Backend) uint64, key uint64) []int {
	first, second := -1, -1
	var firstWeight, secondWeight uint64
	for i, backend := range list {
		weight := Weight(key, hash(backend))
		switch {
		case first < 0 || weight > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = i, weight
		case second < 0 || weight > secondWeight:
			second, secondWeight = i, weight
		}
	}
	ranked := make([]int, 0, candidates)
	for _, place := range []int{first, second} {
		if place >= 0 {
			ranked = append(ranked, place)
		}
	}
	return ranked
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
