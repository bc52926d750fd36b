package peering

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// In a large fleet, routers tell what they use to those of their own availability
// zone. One router of each zone, the summing one, adds it up for the other zones'
// summing routers, and hands on to its own zone what those tell. So bytes between
// zones grow with the number of zones, and what other zones use is known after
// three beats, however many routers there are. Told by turns to all, it would be
// older than the requests that it counts.
//
// Nothing is elected or agreed on. Who sums follows from the order of the routers
// that are heard, so two may for a while, or none. Sums replace each other and are
// dropped when they get old: neither does harm for longer than sumsLife.

const (
	// summersMost is how many routers of a zone get the sums of the others: the
	// summing one, and the one that steps in when it falls silent.
	summersMost = 2
	// silentTurns is how many turns of the summing router of a zone are not heard
	// until the next one steps in: several, as some beats get lost.
	silentTurns = 4
	// sumsLife is how long sums count that are not replaced.
	sumsLife = 10 * beatInterval
	// heldLife is how long sums that do not count any more are kept, so that changes can
	// be applied to them.
	heldLife = 10 * time.Second
	// standbyRounds is the number of rounds in which the sums of a zone go to the
	// router that would step in once. It is to know whom to expect, not to be up to
	// date.
	standbyRounds = 5
	// usualInterval is the pause between two additions of the usual work times that
	// other zones told. They change slowly, and small VMs would spend a good part of
	// their processor on adding up thousands in each round.
	usualInterval = time.Second
	// elsewhere stands for the routers of other zones together where the name of
	// one router is asked for.
	elsewhere fleet.Address = "(other availability zones)"
)

// use is what routers use: their loads at backend servers, and what accounts asked
// and got of them, as of the moment.
type use struct {
	loads map[uint32]gate.BackendLoad
	uses  map[fleet.Account]shares.Usage
	paces paces
	at    boottime.Instant
}

// add adds what other tells, as it has become until the moment. The usual work times of
// backend servers, which are many in a large fleet, are left out unless usual is set.
func (u *use) add(other use, now boottime.Instant, usual bool) {
	for backend, load := range other.loads {
		u.loads[backend] = u.loads[backend].Add(load)
	}
	passed := now.Sub(other.at)
	for account, told := range other.uses {
		u.uses[account] = u.uses[account].Add(told.Decayed(passed))
	}
	u.paces.add(other.paces, now, usual)
}

func newUse(now boottime.Instant) use {
	return use{
		loads: make(map[uint32]gate.BackendLoad),
		uses:  make(map[fleet.Account]shares.Usage),
		paces: newPaces(now),
		at:    now,
	}
}

// sums are what a summing router told last of whole zones.
type sums struct {
	use
	zones []fleet.Zone

	// clock is that of the sender's beat up to which changes are applied, 0 if none can
	// be. The numbers are those that changes go by.
	clock    int64
	backends map[uint32]uint32
	accounts map[uint32]fleet.Account
}

func decodeSums(encoded *peeringpb.Sums, now boottime.Instant) *sums {
	if encoded == nil {
		return nil
	}
	told := &sums{use: use{
		loads: decodeLoads(encoded.Loads),
		uses:  decodeUses(encoded.Uses),
		paces: decodePaces(encoded.Paces, encoded.Slowed, now),
		at:    now,
	}}
	for _, zone := range encoded.Zones {
		told.zones = append(told.zones, fleet.Zone(zone))
	}
	return told
}

// encodeSums returns the sums of zones, with the usual work times when they are due.
func encodeSums(told use, zones []fleet.Zone, pacesDue bool) *peeringpb.Sums {
	sums := &peeringpb.Sums{Zones: zoneNames(zones), Uses: encodeUses(told.uses), Loads: encodeLoads(told.loads)}
	sums.Paces, sums.Slowed = told.paces.carry(pacesDue, told.at)
	return sums
}

// takeSums takes the sums of a beat, nil if it has none. Sums that hold this zone
// would count its routers twice.
func (t *table) takeSums(told *sums, from fleet.Address) {
	if told == nil || slices.Contains(told.zones, t.zone) {
		return
	}
	if before := t.told[from]; before != nil && sameZones(before.zones, told.zones) {
		told.paces = told.paces.or(before.paces)
	}
	t.told[from] = told
}

// sameZones tells whether both lists name the same zones, none twice.
func sameZones(a, b []fleet.Zone) bool {
	return len(a) == len(b) && len(lo.Intersect(a, b)) == len(a)
}

// sumOthers adds up what is told of other zones and returns it with the zones that
// it covers, the newest first and none twice. firstHand leaves out what was handed
// on: two routers that sum one zone for a while would hand it to each other for
// ever.
func (t *table) sumOthers(now boottime.Instant, firstHand, usual bool) (use, []fleet.Zone) {
	fresh := make([]*sums, 0, len(t.told))
	for from, told := range t.told {
		if age := now.Sub(told.at); age > sumsLife {
			if age > heldLife {
				delete(t.told, from)
			}
			continue
		}
		if len(told.zones) == 1 || !firstHand {
			fresh = append(fresh, told)
		}
	}
	slices.SortFunc(fresh, func(a, b *sums) int { return cmp.Compare(b.at, a.at) })
	total := newUse(now)
	var covered []fleet.Zone
	for _, told := range fresh {
		if len(lo.Intersect(told.zones, covered)) > 0 {
			continue
		}
		total.add(told.use, now, usual)
		covered = append(covered, told.zones...)
	}
	return total, covered
}

// refreshOthers recomputes what other zones use and returns the uses of their
// accounts.
func (t *table) refreshOthers(now boottime.Instant) map[fleet.Account]shares.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	usual := now.Sub(t.otherPaces.at) >= usualInterval
	total, covered := t.sumOthers(now, false, usual)
	if !usual {
		total.paces.usual, total.paces.at = t.otherPaces.usual, t.otherPaces.at
	}
	t.otherLoads, t.otherPaces, t.covered = total.loads, total.paces, covered
	return total.uses
}

// others returns what other zones use, for the routers of this one, and the zones
// that it covers. usual tells whether to add up usual work times.
func (t *table) others(now boottime.Instant, usual bool) (use, []fleet.Zone) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sumOthers(now, true, usual)
}

// uses returns what a router told last of its accounts. It must not be changed.
func (t *table) uses(router fleet.Address) map[fleet.Account]shares.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	if peer := t.peers[router]; peer != nil {
		return peer.use.uses
	}
	return nil
}

// sumZone adds up what the routers of this zone use, this one's own included. usual
// tells whether to add up usual work times.
func (t *table) sumZone(own use, now boottime.Instant, usual bool) use {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := newUse(now)
	total.add(own, now, usual)
	for _, peer := range t.peers {
		if peer.zone == t.zone && t.hears(peer, now) {
			total.add(peer.use, now, usual)
		}
	}
	return total
}

// alone tells whether no other router of this zone is heard.
func (t *table) alone(now boottime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, peer := range t.peers {
		if peer.zone == t.zone && t.hears(peer, now) {
			return false
		}
	}
	return true
}

// summing tells whether this router sums its zone: it is the first of those heard
// there, or those before it have fallen silent.
func (t *table) summing(now boottime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	zone := 0
	newest := boottime.Instant(0) // when one that comes before this router was heard
	for _, peer := range t.peers {
		if peer.zone != t.zone || !t.hears(peer, now) {
			continue
		}
		zone++
		if peer.hash < t.hash {
			newest = max(newest, peer.heard)
		}
	}
	silence := time.Duration(silentTurns*rounds(zone, zoneBeats)) * beatInterval
	return newest == 0 || now.Sub(newest) > silence
}

// summers returns, for each other zone, the routers heard there to which the sums
// of this zone go, in their order.
func (t *table) summers(now boottime.Instant) map[fleet.Zone][]fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	byZone := make(map[fleet.Zone][]fleet.Address)
	for address, peer := range t.peers {
		if peer.zone != zoneUnknown && peer.zone != t.zone && t.hears(peer, now) {
			byZone[peer.zone] = append(byZone[peer.zone], address)
		}
	}
	for zone, addresses := range byZone {
		slices.SortFunc(addresses, func(a, b fleet.Address) int { return cmp.Compare(hashOf(a), hashOf(b)) })
		byZone[zone] = addresses[:min(len(addresses), summersMost)]
	}
	return byZone
}

// summerOf returns the router that told the sums of a zone alone last, "" if none
// did lately.
func (t *table) summerOf(zone fleet.Zone, now boottime.Instant) fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	var newest boottime.Instant
	var summer fleet.Address
	for from, told := range t.told {
		if len(told.zones) == 1 && told.zones[0] == zone && told.at > newest && now.Sub(told.at) <= sumsLife {
			newest, summer = told.at, from
		}
	}
	return summer
}

// zoneTargets divides the targets into routers of this zone and others. Routers
// whose zone is not known yet are among the others.
func (t *table) zoneTargets(targets []fleet.Address) (same, others []fleet.Address) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range targets {
		if peer := t.peers[address]; peer != nil && peer.zone != zoneUnknown && peer.zone == t.zone {
			same = append(same, address)
			continue
		}
		others = append(others, address)
	}
	return same, others
}
