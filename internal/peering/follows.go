package peering

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// contactAge is the age up to which another router's contact counts. Routers
// call the store every one and a half seconds at least.
const contactAge = 2200 * time.Millisecond

// StoreContact implements gate.Peers.
func (t *table) StoreContact() boottime.Instant {
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

// followersMost is how many routers follow the store, but for one in each availability
// zone at least. Each following router's calls are paid for, and the store's rates grow
// more slowly than the fleet. So many remain that some reach the store when it turns a
// part of the VMs away.
const followersMost = 5

// WatchesStore tells whether this router is among those that follow the store. Routers that
// don't hear each other may differ about it; then more follow.
func (t *table) WatchesStore() bool { return t.followsAt(boottime.Now()) }

func (t *table) followsAt(now boottime.Instant) bool {
	place, zones := t.place(now)
	return place < max(followersMost, zones)
}

// WatchRank returns how many of the routers that are heard come before this one in the order
// in which they follow the store.
func (t *table) WatchRank() int {
	place, _ := t.place(boottime.Now())
	return place
}

// silentAfter is how long no router was heard when a router counts as cut off: many times
// the pause between two beats.
const silentAfter = 1500 * time.Millisecond

// fleetLeast is the number of routers, this one included, that are not all lost at once
// but by a cut, more likely than not.
const fleetLeast = 4

// Isolated tells whether this router has stopped hearing a fleet that it heard. That one
// router is heard no longer shows late in a large fleet; that none is shows at once.
func (t *table) Isolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.most >= fleetLeast && boottime.Now().Sub(t.heardLast) > silentAfter
}

// joinTime is how long after its start a router has not heard its neighbours yet: several
// rounds of beats, in which they find its address and have their turns.
const joinTime = 1200 * time.Millisecond

// Joining tells whether this router has just started and knows of others.
func (m *Manager) Joining() bool {
	if boottime.Now().Sub(m.started) >= joinTime {
		return false
	}
	return !m.looked.Load() || m.knowsOthers()
}

func (t *table) knowsOthers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers) > 0
}

// place returns this router's place in the order in which routers follow the store, and
// the number of availability zones. The first router of each zone by the hashes of their
// addresses comes before the second of any: a router is heard often in its own zone, and
// in a large fleet so rarely elsewhere that its loss would show after a minute. A zone
// that is cut off goes on with its own.
func (t *table) place(now boottime.Instant) (place, zones int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := 0 // routers of the own zone
	others := make(map[fleet.Zone]bool)
	for _, peer := range t.peers {
		if !t.hears(peer, now) {
			continue
		}
		if peer.zone != t.zone {
			others[peer.zone] = true
			continue
		}
		if peer.hash < t.hash {
			before++
		}
	}
	own := hashOfZone(t.zone)
	zonesBefore := 0
	for zone := range others {
		if hashOfZone(zone) < own {
			zonesBefore++
		}
	}
	zones = len(others) + 1
	return before*zones + zonesBefore, zones
}

func hashOfZone(zone fleet.Zone) uint64 { return xxhash.Sum64String(string(zone)) }
