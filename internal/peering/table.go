package peering

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

const (
	// A router counts as reachable for minPeerTimeout after its last heartbeat, or for
	// peerTimeoutCycles cycles in which it sends to all its targets, if that is longer.
	// These are several cycles so that lost datagrams don't make it unreachable.
	minPeerTimeout    = 1500 * time.Millisecond
	peerTimeoutCycles = 4
	// hearingTime is how long it takes a router that has just started to hear all others, from the first
	// heartbeat on.
	hearingTime = 500 * time.Millisecond
	// routerCountTTL is how long the maximum number of routers is kept. A router that
	// loses contact must not take over the other routers' part of a budget while they
	// still use it.
	routerCountTTL = time.Minute
	// addressTTL is how long heartbeats are sent to an address that does not respond.
	addressTTL = 2 * time.Minute
	// directoryEntryTTL is how long the directory entry of an unreachable router is kept.
	// VMs are replaced many times a day, and without removal their entries would
	// accumulate. It is longer than network partitions last, as partitioned routers find
	// each other by these entries.
	directoryEntryTTL = 30 * time.Minute
)

// peer is another router.
type peer struct {
	address       fleet.Address
	hash          uint64 // of the address
	incarnation   uint64
	clock         int64            // the newest clock received from the peer
	lastHeartbeat boottime.Instant // when the newest clock arrived, 0 for never
	triedSince    boottime.Instant // when the address was added or its router last became unreachable
	zone          fleet.Zone       // zoneUnknown until it is received
	usage         usage            // as last reported
	storeContact  boottime.Instant // when the store last answered the peer, 0 for never
	// acceptsDeltas reports whether the peer accepts aggregates as deltas. heldClock is
	// the clock of this router up to which the peer holds them, 0 for none.
	acceptsDeltas bool
	heldClock     boottime.Instant
}

// table holds the state of the other routers.
type table struct {
	self fleet.Address
	hash uint64 // of self
	zone fleet.Zone

	mu         sync.Mutex
	peers      map[fleet.Address]*peer
	loads      map[uint32]gate.BackendLoad  // sums over the reachable peers, by hash of the backend server's incarnation
	aggregates map[fleet.Address]*aggregate // of other zones, by the router that sent them
	// otherZoneLoads are the loads of coveredZones.
	otherZoneLoads   map[uint32]gate.BackendLoad
	otherZonePaces   paces // of coveredZones
	coveredZones     []fleet.Zone
	zoneRouters      int // known routers of this zone
	maxRouters       int // maximum number of routers within routerCountTTL
	maxRoutersAt     boottime.Instant
	lastHeartbeat    boottime.Instant // when a heartbeat of any router last arrived
	startedAt        boottime.Instant
	firstHeartbeat   boottime.Instant                   // when one first arrived, 0 for never
	unreachableSince map[fleet.Address]boottime.Instant // since when a listed router has been unreachable
}

func newTable(self fleet.Address, zone fleet.Zone) *table {
	return &table{
		startedAt:  boottime.Now(),
		self:       self,
		hash:       addressHash(self),
		zone:       zone,
		peers:      make(map[fleet.Address]*peer),
		loads:      make(map[uint32]gate.BackendLoad),
		aggregates: make(map[fleet.Address]*aggregate),

		unreachableSince: make(map[fleet.Address]boottime.Instant),
	}
}

// Load implements gate.Peers.
func (t *table) Load(incarnation uint32) gate.BackendLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loads[incarnation].Add(t.otherZoneLoads[incarnation])
}

// Routers implements gate.Peers. It returns the maximum of the last minute.
func (t *table) Routers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.maxRouters, 1)
}

// Unheard implements gate.Peers. It counts routers only while this one is starting: they may be listed
// but gone.
func (t *table) Unheard(now boottime.Instant) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.startingUp(now) {
		return 0
	}
	unheard := 0
	for _, peer := range t.peers {
		// In a large fleet, other zones are known from their aggregates alone.
		if peer.lastHeartbeat == 0 || (len(t.peers) > smallFleetSize && peer.zone != t.zone) {
			if !slices.Contains(t.coveredZones, peer.zone) {
				unheard++
			}
		}
	}
	return unheard
}

// startingUp reports whether routers that have not been heard yet may be heard soon. One that has been
// alone since its start knows the usage of all its callers.
func (t *table) startingUp(now boottime.Instant) bool {
	if t.firstHeartbeat == 0 || t.firstHeartbeat.Sub(t.startedAt) > minPeerTimeout {
		return now.Sub(t.startedAt) <= minPeerTimeout
	}
	return now.Sub(t.firstHeartbeat) <= hearingTime
}

// expiredEntries returns the routers with a directory entry that have been unreachable
// for longer than directoryEntryTTL.
func (t *table) expiredEntries(entries []fleet.Address, now boottime.Instant) []fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	unreachable := make(map[fleet.Address]boottime.Instant)
	var expired []fleet.Address
	for _, address := range entries {
		peer := t.peers[address]
		if address == t.self || (peer != nil && peer.lastHeartbeat != 0) {
			continue
		}
		unreachableAt, known := t.unreachableSince[address]
		if !known {
			unreachableAt = now
		}
		unreachable[address] = unreachableAt
		if now.Sub(unreachableAt) > directoryEntryTTL {
			expired = append(expired, address)
		}
	}
	t.unreachableSince = unreachable
	return expired
}

// peerTimeout returns how long after its last heartbeat a router counts as reachable. It
// grows with the fleet, in which heartbeats between two routers become less frequent.
func (t *table) peerTimeout(peer *peer) time.Duration {
	roundsOfCycle := 1
	switch {
	case peer.zone == t.zone:
		roundsOfCycle = roundsPerCycle(t.zoneRouters, maxZoneHeartbeats)
	case len(t.peers) > smallFleetSize:
		roundsOfCycle = roundsPerCycle(len(t.peers), maxRemoteHeartbeats)
	}
	return max(minPeerTimeout, time.Duration(roundsOfCycle*peerTimeoutCycles)*heartbeatInterval)
}

// reachable reports whether the last heartbeat of a router is recent enough.
func (t *table) reachable(peer *peer, now boottime.Instant) bool {
	return peer.lastHeartbeat != 0 && now.Sub(peer.lastHeartbeat) < t.peerTimeout(peer)
}

// zoneUnknown is the zone of a router of which only the address is known.
const zoneUnknown fleet.Zone = ""

// add adds an address. It reports whether the address is new.
func (t *table) add(address fleet.Address, zone fleet.Zone, now boottime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address == t.self {
		return false
	}
	if known := t.peers[address]; known != nil {
		if known.zone == zoneUnknown {
			known.zone = zone
		}
		return false
	}
	t.peers[address] = &peer{address: address, hash: addressHash(address), zone: zone, triedSince: now}
	return true
}

// targets returns the routers to send heartbeats to, and removes addresses that do not
// respond.
func (t *table) targets(now boottime.Instant) []fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := make([]fleet.Address, 0, len(t.peers))
	t.zoneRouters = 0
	for address, peer := range t.peers {
		if now.Sub(max(peer.lastHeartbeat, peer.triedSince)) > addressTTL {
			delete(t.peers, address)
			continue
		}
		targets = append(targets, address)
		if peer.zone == t.zone {
			t.zoneRouters++
		}
	}
	return targets
}

// knownRouters returns the addresses of all other routers, reachable or not.
func (t *table) knownRouters() []fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.Keys(t.peers)
}

// echoes returns the newest clocks received from those of the routers that are reachable.
func (t *table) echoes(routers []fleet.Address) *peeringpb.Echoes {
	t.mu.Lock()
	defer t.mu.Unlock()
	echoes := &peeringpb.Echoes{}
	for _, router := range routers {
		if peer := t.peers[router]; peer != nil && peer.lastHeartbeat != 0 {
			echoes.Router = append(echoes.Router, peer.hash)
			echoes.Clock = append(echoes.Clock, peer.clock)
		}
	}
	return echoes
}

// addressHash returns the hash by which routers are ordered.
func addressHash(address fleet.Address) uint64 { return xxhash.Sum64String(string(address)) }

// applyHeartbeat applies a heartbeat. accepted is false if it arrived out of order, is from
// an earlier process or comes from this router itself; joined reports whether its sender was unreachable
// before.
func (t *table) applyHeartbeat(heartbeat *peeringpb.Beat, now boottime.Instant) (accepted, joined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := fleet.Address(heartbeat.Address)
	if address == t.self {
		return false, false
	}
	known := t.peers[address]
	if known == nil {
		known = &peer{address: address, hash: addressHash(address)}
		t.peers[address] = known
	}
	if heartbeat.Incarnation == known.incarnation && heartbeat.Clock <= known.clock {
		return false, false
	}
	// Incarnations are start times, so that of a process which started after its VM's clock was
	// set back is lower. It counts once the one before is not reachable any more.
	if heartbeat.Incarnation < known.incarnation && known.lastHeartbeat != 0 {
		return false, false
	}
	joined = known.lastHeartbeat == 0
	pacesBefore := known.usage.paces
	if heartbeat.Incarnation != known.incarnation {
		pacesBefore = paces{}
		t.invalidateClock(address)
	}
	known.incarnation, known.clock, known.lastHeartbeat = heartbeat.Incarnation, heartbeat.Clock, now
	t.lastHeartbeat = now
	t.firstHeartbeat = firstSet(t.firstHeartbeat, now)
	if heartbeat.ContactAge >= 0 {
		known.storeContact = now.Add(-time.Duration(heartbeat.ContactAge))
	}
	known.zone = fleet.Zone(heartbeat.Zone)
	t.replaceUsage(known, usage{
		loads:  decodeLoads(heartbeat.Loads),
		usages: decodeUsages(heartbeat.Uses),
		paces:  decodePaces(heartbeat.Paces, heartbeat.Slowed, now).orPrevious(pacesBefore),
		at:     now,
	})
	t.setHeldClock(known, heartbeat.Held)
	t.setAggregate(decodeAggregate(heartbeat.Sums, now), address)
	t.applyDeltas(heartbeat.SumChanges, heartbeat.Clock, address, now)
	if joined {
		t.updateRouterCount(now)
	}
	return true, joined
}

// incarnationOf returns the incarnation of a router's process, 0 if it is not known.
func (t *table) incarnationOf(router fleet.Address) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.peers[router]; known != nil {
		return known.incarnation
	}
	return 0
}

// replaceUsage replaces the usage reported by a router. If an aggregate covers the
// router's zone, its usage is included there and not counted again.
func (t *table) replaceUsage(known *peer, reported usage) {
	t.removeUsage(known)
	if slices.Contains(t.coveredZones, known.zone) {
		reported = usage{}
	}
	known.usage = reported
	for backend, load := range reported.loads {
		t.loads[backend] = t.loads[backend].Add(load)
	}
}

// removeUsage removes the usage reported by a router, and its loads from the sums.
func (t *table) removeUsage(known *peer) {
	for backend, load := range known.usage.loads {
		rest := t.loads[backend].Add(gate.BackendLoad{Running: -load.Running, Pending: -load.Pending, Memory: -load.Memory})
		if rest.Running <= 0 {
			delete(t.loads, backend)
			continue
		}
		t.loads[backend] = rest
	}
	known.usage = usage{}
}

// updateRouterCount updates the maximum number of reachable routers.
func (t *table) updateRouterCount(now boottime.Instant) {
	reachable := 1
	for _, peer := range t.peers {
		if t.reachable(peer, now) {
			reachable++
		}
	}
	if reachable >= t.maxRouters || now.Sub(t.maxRoutersAt) > routerCountTTL {
		t.maxRouters, t.maxRoutersAt = reachable, now
	}
}

// expire marks routers without recent heartbeats as unreachable and returns them.
func (t *table) expire(now boottime.Instant) []fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lost []fleet.Address
	for address, peer := range t.peers {
		if peer.lastHeartbeat == 0 || t.reachable(peer, now) {
			continue
		}
		t.removeUsage(peer)
		delete(t.aggregates, address)
		peer.lastHeartbeat = 0
		peer.clock = 0
		peer.triedSince = now
		lost = append(lost, address)
	}
	t.updateRouterCount(now)
	return lost
}

// reachableRouters returns the addresses of the reachable routers.
func (t *table) reachableRouters(now boottime.Instant) []fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addresses []fleet.Address
	for address, peer := range t.peers {
		if t.reachable(peer, now) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// successors returns the reachable routers in the order of the hashes of all addresses, beginning
// after this router's and going on from the first one after the last.
func (t *table) successors(now boottime.Instant) []fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	peers := lo.Filter(lo.Values(t.peers), func(peer *peer, _ int) bool { return t.reachable(peer, now) })
	slices.SortFunc(peers, func(a, b *peer) int { return cmp.Compare(a.hash-t.hash, b.hash-t.hash) })
	return lo.Map(peers, func(peer *peer, _ int) fleet.Address { return peer.address })
}
