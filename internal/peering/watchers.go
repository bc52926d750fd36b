package peering

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// maxContactAge is the age up to which another router's contact with the store counts.
// Routers call the store at least every 1.5 seconds.
const maxContactAge = 2200 * time.Millisecond

// StoreContact implements gate.Peers.
func (t *table) StoreContact() boottime.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := boottime.Now()
	var newest boottime.Instant
	for _, peer := range t.peers {
		if peer.lastHeartbeat != 0 && now.Sub(peer.storeContact) < maxContactAge {
			newest = max(newest, peer.storeContact)
		}
	}
	return newest
}

// maxWatchers is the number of routers that watch the store. There are more if there are
// more availability zones, one for each. The calls of each watching router cost money,
// and the store's rate limits grow more slowly than the fleet. The number is large enough
// for some watchers to reach the store while it rejects calls from some of the VMs.
const maxWatchers = 5

// WatchesStore reports whether this router is among those that watch the store. Routers
// that do not receive each other's heartbeats may disagree; then more of them watch.
func (t *table) WatchesStore() bool { return t.watchesStoreAt(boottime.Now()) }

func (t *table) watchesStoreAt(now boottime.Instant) bool {
	rank, zones := t.watchRankAt(now)
	return rank < max(maxWatchers, zones)
}

// WatchRank returns the number of reachable routers that come before this one in the
// order in which routers watch the store.
func (t *table) WatchRank() int {
	rank, _ := t.watchRankAt(boottime.Now())
	return rank
}

// isolationTimeout is the time without a heartbeat from any router after which this
// router counts as isolated. It spans many heartbeat intervals.
const isolationTimeout = 1500 * time.Millisecond

// minFleetSize is the smallest fleet, this router included, of which it is more likely
// that the network is partitioned than that all other routers fail together.
const minFleetSize = 4

// Isolated reports whether this router no longer receives heartbeats from a fleet that it
// was part of. In a large fleet the loss of a single router is detected late, but the
// absence of all heartbeats is detected quickly.
func (t *table) Isolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxRouters >= minFleetSize && boottime.Now().Sub(t.lastHeartbeat) > isolationTimeout
}

// joinPeriod is the time after its start in which a router may not have received
// heartbeats of its neighbours yet. Within several rounds of heartbeats they learn its
// address and include it as a target.
const joinPeriod = 1200 * time.Millisecond

// Joining reports whether this router has just started and knows of other routers, or has
// not read the directory yet.
func (m *Manager) Joining() bool {
	if boottime.Now().Sub(m.started) >= joinPeriod {
		return false
	}
	return !m.directoryRead.Load() || m.knowsOtherRouters()
}

func (t *table) knowsOtherRouters() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers) > 0
}

// watchRankAt returns this router's rank in the order in which routers watch the store,
// and the number of availability zones with reachable routers. The first router of every
// zone, by the hashes of their addresses, comes before the second of any zone. Heartbeats
// are frequent within a zone, but in a large fleet so rare between zones that the loss of
// a router would be detected only after a minute. An isolated zone keeps watchers of its
// own.
func (t *table) watchRankAt(now boottime.Instant) (rank, zones int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ahead := 0 // routers of this zone
	otherZones := make(map[fleet.Zone]bool)
	for _, peer := range t.peers {
		if !t.reachable(peer, now) {
			continue
		}
		if peer.zone != t.zone {
			otherZones[peer.zone] = true
			continue
		}
		if peer.hash < t.hash {
			ahead++
		}
	}
	own := zoneHash(t.zone)
	zonesBefore := 0
	for zone := range otherZones {
		if zoneHash(zone) < own {
			zonesBefore++
		}
	}
	zones = len(otherZones) + 1
	return ahead*zones + zonesBefore, zones
}

// zoneHash returns the hash by which availability zones are ordered.
func zoneHash(zone fleet.Zone) uint64 { return xxhash.Sum64String(string(zone)) }
