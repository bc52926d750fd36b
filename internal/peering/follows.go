package peering

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// contactAge is the age up to which another router's contact counts. Routers
// call the store every one and a half seconds at least.
const contactAge = 2200 * time.Millisecond

// Contact implements gate.Peers.
func (t *table) Contact() boottime.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := boottime.Now()
	var newest boottime.Instant
	for _, peer := range t.peers {
		if peer.heard != 0 && now.Sub(peer.contact) < contactAge {
			newest = max(newest, peer.contact)
		}
	}
	return newest
}

// followersMost is how many routers follow the store. Each following router's
// calls are paid for, and the store's rates grow more slowly than the fleet. So
// many remain that some reach the store when it turns a part of the VMs away.
// Calls to the store in a fleet of 27, in parts of those made when all follow: 0.46
// with eight, 0.33 with four.
const followersMost = 5

// Follows tells whether this router is among those that follow the store, the first
// ones of those that are heard. Routers that don't hear each other may differ about
// it; then more follow.
func (t *table) Follows() bool { return t.Place() < followersMost }

// Place returns how many of the routers that are heard come before this one by the
// hashes of their addresses.
func (t *table) Place() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := boottime.Now()
	own := hashOf(t.self)
	before := 0
	for address, peer := range t.peers {
		if t.hears(peer, now) && hashOf(address) < own {
			before++
		}
	}
	return before
}
