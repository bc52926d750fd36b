package peering

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

const (
	// heardLife is how long after its last beat a router counts as heard at
	// least, and heardRounds how many of its turns: several, so that lost
	// datagrams don't make it vanish.
	heardLife   = 1500 * time.Millisecond
	heardRounds = 4
	// countLife is how long the greatest number of routers is remembered. A
	// router that is cut off must not take the others' part of a budget, as
	// they still use it.
	countLife = time.Minute
	// addressLife is how long an address is tried from which nothing came.
	addressLife = 2 * time.Minute
	// entryLife is how long the entry of a router that nobody hears stays in the
	// directory. VMs are replaced many times a day, and their entries would
	// gather for good. It is longer than partitions last, as those who are cut
	// off find each other by the entries.
	entryLife = 30 * time.Minute
)

// peer is another router.
type peer struct {
	address     fleet.Address
	hash        uint64 // of the address
	incarnation uint64
	clock       int64            // the newest of the peer's clocks that came
	heard       boottime.Instant // when it came, 0 for never
	tried       boottime.Instant // when the address became known
	zone        fleet.Zone       // zoneUnknown until it is told
	use         use              // as it told last
	contact     boottime.Instant // when the store answered it, 0 for never
	// takesChanges tells whether it takes sums as changes, and held is the clock of this
	// router up to which it holds them, 0 for none.
	takesChanges bool
	held         boottime.Instant
}

// table holds what is known of the other routers.
type table struct {
	self fleet.Address
	hash uint64 // of self
	zone fleet.Zone

	mu    sync.Mutex
	peers map[fleet.Address]*peer
	sums  map[uint32]gate.BackendLoad // over the peers that are heard, by hash of the backend server's incarnation
	told  map[fleet.Address]*sums     // of other zones, by the router that told it
	// otherLoads are the loads of the zones that told covers.
	otherLoads map[uint32]gate.BackendLoad
	otherPaces paces // of these zones
	covered    []fleet.Zone
	inZone     int // routers of this zone that are known
	most       int // greatest number of routers of late
	mostAt     boottime.Instant
	heardLast  boottime.Instant                   // when any router was heard
	silent     map[fleet.Address]boottime.Instant // since when an entry's router is not heard
}

func newTable(self fleet.Address, zone fleet.Zone) *table {
	return &table{
		self:  self,
		hash:  hashOf(self),
		zone:  zone,
		peers: make(map[fleet.Address]*peer),
		sums:  make(map[uint32]gate.BackendLoad),
		told:  make(map[fleet.Address]*sums),

		silent: make(map[fleet.Address]boottime.Instant),
	}
}

// Load implements gate.Peers.
func (t *table) Load(incarnation uint32) gate.BackendLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sums[incarnation].Add(t.otherLoads[incarnation])
}

// Routers implements gate.Peers. It returns the greatest number of late.
func (t *table) Routers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.most, 1)
}

// gone returns the routers among those with entries that have not been heard
// for so long that their entries may go.
func (t *table) gone(entries []fleet.Address, now boottime.Instant) []fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := make(map[fleet.Address]boottime.Instant)
	var gone []fleet.Address
	for _, address := range entries {
		peer := t.peers[address]
		if address == t.self || (peer != nil && peer.heard != 0) {
			continue
		}
		began, known := t.silent[address]
		if !known {
			began = now
		}
		since[address] = began
		if now.Sub(began) > entryLife {
			gone = append(gone, address)
		}
	}
	t.silent = since
	return gone
}

// life returns how long after its last beat a router counts as heard. It grows
// with the fleet, as the turns get rarer.
func (t *table) life(peer *peer) time.Duration {
	turns := 1
	switch {
	case peer.zone == t.zone:
		turns = rounds(t.inZone, zoneBeats)
	case len(t.peers) > smallFleet:
		turns = rounds(len(t.peers), farBeats)
	}
	return max(heardLife, time.Duration(turns*heardRounds)*beatInterval)
}

// hears tells whether a router counts as heard.
func (t *table) hears(peer *peer, now boottime.Instant) bool {
	return peer.heard != 0 && now.Sub(peer.heard) < t.life(peer)
}

// zoneUnknown stands for the zone of a router that is known by its address alone.
const zoneUnknown fleet.Zone = ""

// add makes an address known. It returns false when it was known.
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
	t.peers[address] = &peer{address: address, hash: hashOf(address), zone: zone, tried: now}
	return true
}

// targets returns where beats go, and forgets addresses that never answer.
func (t *table) targets(now boottime.Instant) []fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := make([]fleet.Address, 0, len(t.peers))
	t.inZone = 0
	for address, peer := range t.peers {
		if now.Sub(max(peer.heard, peer.tried)) > addressLife {
			delete(t.peers, address)
			continue
		}
		targets = append(targets, address)
		if peer.zone == t.zone {
			t.inZone++
		}
	}
	return targets
}

// echoes returns the newest clocks of those routers that are heard.
func (t *table) echoes(routers []fleet.Address) *peeringpb.Echoes {
	t.mu.Lock()
	defer t.mu.Unlock()
	echoes := &peeringpb.Echoes{}
	for _, router := range routers {
		if peer := t.peers[router]; peer != nil && peer.heard != 0 {
			echoes.Router = append(echoes.Router, peer.hash)
			echoes.Clock = append(echoes.Clock, peer.clock)
		}
	}
	return echoes
}

func hashOf(address fleet.Address) uint64 { return xxhash.Sum64String(string(address)) }

// take takes a beat. It returns false for one that came out of order, and
// whether its router was not heard before.
func (t *table) take(beat *peeringpb.Beat, now boottime.Instant) (taken, appeared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := fleet.Address(beat.Address)
	if address == t.self {
		return false, false
	}
	known := t.peers[address]
	if known == nil {
		known = &peer{address: address, hash: hashOf(address)}
		t.peers[address] = known
	}
	if beat.Incarnation < known.incarnation || (beat.Incarnation == known.incarnation && beat.Clock <= known.clock) {
		return false, false
	}
	appeared = known.heard == 0
	pacesBefore := known.use.paces
	if beat.Incarnation != known.incarnation {
		pacesBefore = paces{}
		t.endChanges(address)
	}
	known.incarnation, known.clock, known.heard = beat.Incarnation, beat.Clock, now
	t.heardLast = now
	if beat.ContactAge >= 0 {
		known.contact = now.Add(-time.Duration(beat.ContactAge))
	}
	known.zone = fleet.Zone(beat.Zone)
	t.replaceUse(known, use{
		loads: decodeLoads(beat.Loads),
		uses:  decodeUses(beat.Uses),
		paces: decodePaces(beat.Paces, beat.Slowed, now).or(pacesBefore),
		at:    now,
	})
	t.takeHeld(known, beat.Held)
	t.takeSums(decodeSums(beat.Sums, now), address)
	t.takeChanges(beat.SumChanges, beat.Clock, address, now)
	if appeared {
		t.count(now)
	}
	return true, appeared
}

// replaceUse takes what a router uses. It counts nothing where its zone's sums are
// told, which hold it already.
func (t *table) replaceUse(known *peer, told use) {
	t.subtract(known)
	if slices.Contains(t.covered, known.zone) {
		told = use{}
	}
	known.use = told
	for backend, load := range told.loads {
		t.sums[backend] = t.sums[backend].Add(load)
	}
}

func (t *table) subtract(known *peer) {
	for backend, load := range known.use.loads {
		rest := t.sums[backend].Add(gate.BackendLoad{Running: -load.Running, Pending: -load.Pending, Memory: -load.Memory})
		if rest.Running <= 0 {
			delete(t.sums, backend)
			continue
		}
		t.sums[backend] = rest
	}
	known.use = use{}
}

// count notes the number of routers heard.
func (t *table) count(now boottime.Instant) {
	heard := 1
	for _, peer := range t.peers {
		if t.hears(peer, now) {
			heard++
		}
	}
	if heard >= t.most || now.Sub(t.mostAt) > countLife {
		t.most, t.mostAt = heard, now
	}
}

// expire returns the routers that are no longer heard.
func (t *table) expire(now boottime.Instant) []fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lost []fleet.Address
	for address, peer := range t.peers {
		if peer.heard == 0 || t.hears(peer, now) {
			continue
		}
		t.subtract(peer)
		delete(t.told, address)
		peer.heard = 0
		peer.clock = 0
		peer.tried = now
		lost = append(lost, address)
	}
	t.count(now)
	return lost
}

// heard returns the addresses of the routers that are heard.
func (t *table) heard(now boottime.Instant) []fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addresses []fleet.Address
	for address, peer := range t.peers {
		if t.hears(peer, now) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
