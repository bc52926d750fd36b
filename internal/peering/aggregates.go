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

// In a large fleet, routers send their usage only to routers of their own availability
// zone. One router of each zone, the aggregator, sums it up for the aggregators of the
// other zones, and forwards the aggregates that it receives from them within its own
// zone. So the bytes between zones grow with the number of zones, and the usage of other
// zones arrives after three heartbeats, however many routers there are. If all routers
// took turns to send it to all others, it would be older than the requests that it
// counts.
//
// There is no election or agreement. The aggregator follows from the order of the
// reachable routers, so for a while there may be two or none. Aggregates replace each
// other and expire, so neither state does harm for longer than aggregateTTL.

const (
	// maxAggregateReceivers is the number of routers of a zone that receive the aggregates
	// of other zones: the aggregator, and a standby that replaces it if its heartbeats stop.
	maxAggregateReceivers = 2
	// maxMissedCycles is the number of cycles without a heartbeat of a zone's aggregator
	// after which the next router replaces it. It is more than one, as some heartbeats
	// get lost.
	maxMissedCycles = 4
	// aggregateTTL is the time after which an aggregate that has not been replaced no
	// longer counts.
	aggregateTTL = 10 * heartbeatInterval
	// deltaBaseTTL is the time for which an expired aggregate is kept so that deltas can
	// be applied to it.
	deltaBaseTTL = 10 * time.Second
	// standbyRounds is the interval, in rounds, at which a zone's aggregate also goes to
	// the standby routers. A standby need only know the senders, not the latest values.
	standbyRounds = 5
	// usualMergeInterval is the interval between two merges of the usual work times of
	// other zones. They change slowly, and merging thousands of them in each round would
	// take a good part of a small VM's processor.
	usualMergeInterval = time.Second
	// otherZones stands for all routers of other zones where a single router's address is
	// required.
	otherZones fleet.Address = "(other availability zones)"
)

// usage is the load of routers at backend servers and the tokens requested by and granted
// to accounts there, as of a point in time.
type usage struct {
	loads  map[uint32]gate.BackendLoad
	usages map[fleet.Account]shares.Usage
	paces  paces
	at     boottime.Instant
}

// add adds a reported usage, decayed to the given time. The usual work times of backend
// servers (see pace.Observation), of which there are many in a large fleet, are added only
// if withUsual is set.
func (u *usage) add(other usage, now boottime.Instant, withUsual bool) {
	for backend, load := range other.loads {
		u.loads[backend] = u.loads[backend].Add(load)
	}
	passed := now.Sub(other.at)
	for account, reported := range other.usages {
		u.usages[account] = u.usages[account].Add(reported.Decayed(passed))
	}
	u.paces.add(other.paces, now, withUsual)
}

func newUsage(now boottime.Instant) usage {
	return usage{
		loads:  make(map[uint32]gate.BackendLoad),
		usages: make(map[fleet.Account]shares.Usage),
		paces:  newPaces(now),
		at:     now,
	}
}

// aggregate is the usage of whole zones as last sent by an aggregator.
type aggregate struct {
	usage
	zones []fleet.Zone

	// clock is the clock of the sender's heartbeat by which the aggregate was last updated.
	// Deltas relative to it or to an earlier heartbeat can be applied; if it is 0, none
	// can, and the sender has to send the aggregate in full.
	clock     int64
	backendOf map[uint32]uint32        // incarnation hashes by the numbers used in deltas
	accountOf map[uint32]fleet.Account // by the numbers used in deltas
}

// decodeAggregate decodes a full aggregate that was received at the given time. It returns
// nil for nil.
func decodeAggregate(encoded *peeringpb.Sums, now boottime.Instant) *aggregate {
	if encoded == nil {
		return nil
	}
	decoded := &aggregate{usage: usage{
		loads:  decodeLoads(encoded.Loads),
		usages: decodeUsages(encoded.Uses),
		paces:  decodePaces(encoded.Paces, encoded.Slowed, now),
		at:     now,
	}}
	for _, zone := range encoded.Zones {
		decoded.zones = append(decoded.zones, fleet.Zone(zone))
	}
	return decoded
}

// encodeAggregate returns the full aggregate of zones. withUsual is set to include usual
// work times.
func encodeAggregate(total usage, zones []fleet.Zone, withUsual bool) *peeringpb.Sums {
	encoded := &peeringpb.Sums{Zones: zoneNames(zones), Uses: encodeUsages(total.usages), Loads: encodeLoads(total.loads)}
	encoded.Paces, encoded.Slowed = total.paces.encode(withUsual, total.at)
	return encoded
}

// setAggregate stores the full aggregate of a heartbeat, nil if it has none. One that
// includes this zone is ignored, as it would count this zone's routers twice.
func (t *table) setAggregate(received *aggregate, from fleet.Address) {
	if received == nil || slices.Contains(received.zones, t.zone) {
		return
	}
	if before := t.aggregates[from]; before != nil && sameZones(before.zones, received.zones) {
		received.paces = received.paces.orPrevious(before.paces)
	}
	t.aggregates[from] = received
}

// sameZones reports whether both lists contain the same zones. Neither may contain
// duplicates.
func sameZones(a, b []fleet.Zone) bool {
	return len(a) == len(b) && len(lo.Intersect(a, b)) == len(a)
}

// mergeAggregates sums up the aggregates of other zones, newest first and each zone once,
// and returns the zones that they cover. excludeForwarded leaves out aggregates of several
// zones, which another router of this zone has forwarded: two routers that aggregate one
// zone at the same time would otherwise forward them to each other forever. withUsual is
// set to include usual work times.
func (t *table) mergeAggregates(now boottime.Instant, excludeForwarded, withUsual bool) (usage, []fleet.Zone) {
	fresh := make([]*aggregate, 0, len(t.aggregates))
	for from, aggregate := range t.aggregates {
		if age := now.Sub(aggregate.at); age > aggregateTTL {
			if age > deltaBaseTTL {
				delete(t.aggregates, from)
			}
			continue
		}
		if len(aggregate.zones) == 1 || !excludeForwarded {
			fresh = append(fresh, aggregate)
		}
	}
	slices.SortFunc(fresh, func(a, b *aggregate) int { return cmp.Compare(b.at, a.at) })
	total := newUsage(now)
	var covered []fleet.Zone
	for _, aggregate := range fresh {
		if len(lo.Intersect(aggregate.zones, covered)) > 0 {
			continue
		}
		total.add(aggregate.usage, now, withUsual)
		covered = append(covered, aggregate.zones...)
	}
	return total, covered
}

// refreshOtherZones recomputes the usage of other zones and returns that of their
// accounts.
func (t *table) refreshOtherZones(now boottime.Instant) map[fleet.Account]shares.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	withUsual := now.Sub(t.otherZonePaces.usualAt) >= usualMergeInterval
	total, covered := t.mergeAggregates(now, false, withUsual)
	if !withUsual {
		total.paces.usual, total.paces.usualAt = t.otherZonePaces.usual, t.otherZonePaces.usualAt
	}
	t.otherZoneLoads, t.otherZonePaces, t.coveredZones = total.loads, total.paces, covered
	return total.usages
}

// otherZonesUsage returns the usage of other zones to be forwarded within this zone, and
// the zones that it covers. withUsual is set to include usual work times.
func (t *table) otherZonesUsage(now boottime.Instant, withUsual bool) (usage, []fleet.Zone) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mergeAggregates(now, true, withUsual)
}

// usagesOf returns the usages last reported by a router. The map must not be modified.
func (t *table) usagesOf(router fleet.Address) map[fleet.Account]shares.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	if peer := t.peers[router]; peer != nil {
		return peer.usage.usages
	}
	return nil
}

// aggregateZone sums up the usage of the routers of this zone, including this router's
// own. withUsual is set to include usual work times.
func (t *table) aggregateZone(own usage, now boottime.Instant, withUsual bool) usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := newUsage(now)
	total.add(own, now, withUsual)
	for _, peer := range t.peers {
		if peer.zone == t.zone && t.reachable(peer, now) {
			total.add(peer.usage, now, withUsual)
		}
	}
	return total
}

// aloneInZone reports whether no other router of this zone is reachable.
func (t *table) aloneInZone(now boottime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, peer := range t.peers {
		if peer.zone == t.zone && t.reachable(peer, now) {
			return false
		}
	}
	return true
}

// isAggregator reports whether this router aggregates its zone: it is the first of the
// zone's reachable routers, or no heartbeats of those before it have arrived for
// maxMissedCycles cycles.
func (t *table) isAggregator(now boottime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ahead, zoneRouters := t.zoneOrder(now)
	newest := boottime.Instant(0) // newest heartbeat of a router that comes before this one
	for _, peer := range ahead {
		newest = max(newest, peer.lastHeartbeat)
	}
	maxSilence := time.Duration(maxMissedCycles*roundsPerCycle(zoneRouters, maxZoneHeartbeats)) * heartbeatInterval
	return newest == 0 || now.Sub(newest) > maxSilence
}

// isStandby reports whether this router is the first to replace the zone's aggregator.
func (t *table) isStandby(now boottime.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ahead, _ := t.zoneOrder(now)
	return len(ahead) > 0 && len(ahead) < maxAggregateReceivers
}

// zoneOrder returns the reachable routers of this zone that come before this one, and the
// number of all reachable ones. t.mu must be held.
func (t *table) zoneOrder(now boottime.Instant) (ahead []*peer, zoneRouters int) {
	for _, peer := range t.peers {
		if peer.zone != t.zone || !t.reachable(peer, now) {
			continue
		}
		zoneRouters++
		if peer.hash < t.hash {
			ahead = append(ahead, peer)
		}
	}
	return ahead, zoneRouters
}

// aggregateReceivers returns, for each other zone, the reachable routers that receive this
// zone's aggregate: the one that should be the zone's aggregator, then the standby.
func (t *table) aggregateReceivers(now boottime.Instant) map[fleet.Zone][]fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	byZone := make(map[fleet.Zone][]fleet.Address)
	for address, peer := range t.peers {
		if peer.zone != zoneUnknown && peer.zone != t.zone && t.reachable(peer, now) {
			byZone[peer.zone] = append(byZone[peer.zone], address)
		}
	}
	for zone, addresses := range byZone {
		slices.SortFunc(addresses, func(a, b fleet.Address) int { return cmp.Compare(addressHash(a), addressHash(b)) })
		byZone[zone] = addresses[:min(len(addresses), maxAggregateReceivers)]
	}
	return byZone
}

// aggregatorOf returns the router that has last sent an aggregate of this zone alone, ""
// if that aggregate has expired.
func (t *table) aggregatorOf(zone fleet.Zone, now boottime.Instant) fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	var newest boottime.Instant
	var aggregator fleet.Address
	for from, aggregate := range t.aggregates {
		if len(aggregate.zones) == 1 && aggregate.zones[0] == zone && aggregate.at > newest && now.Sub(aggregate.at) <= aggregateTTL {
			newest, aggregator = aggregate.at, from
		}
	}
	return aggregator
}

// splitByZone splits the targets into routers of this zone and others. Routers of an
// unknown zone count among the others.
func (t *table) splitByZone(targets []fleet.Address) (same, others []fleet.Address) {
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
