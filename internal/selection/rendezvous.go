package selection

import "github.com/cespare/xxhash/v2"

// Weight returns the rendezvous weight of a backend server for a key. All
// routers compute the same weights, so without talking to each other they send
// requests that share a prompt part to the same backend server, which reads
// the part once. When a backend server comes or goes, only the keys that it
// wins or had won move.
func Weight(key uint64, id string) uint64 {
	return mix(key ^ xxhash.Sum64String(id))
}

// Key returns the hash of a key for Weight.
func Key(text string) uint64 { return xxhash.Sum64String(text) }

// mix spreads the bits of a value (the finalizer of SplitMix64). Without it
// the weights of two keys would order the backend servers alike.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
