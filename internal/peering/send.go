package peering

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

const (
	// heartbeatInterval is the interval between two rounds of heartbeats.
	heartbeatInterval = 100 * time.Millisecond
	// smallFleetSize is the number of other routers up to which each router sends
	// everything to all of them in each round.
	smallFleetSize = 10
	// maxZoneHeartbeats bounds the heartbeats of a round to routers of the same
	// availability zone, and maxRemoteHeartbeats those to other zones. This bounds the
	// cost to each router in a large fleet, where routers receive each other's heartbeats
	// less often instead.
	maxZoneHeartbeats   = 16
	maxRemoteHeartbeats = 2
	// maxRemoteHeartbeatsOfLead replaces maxRemoteHeartbeats at a router that watches the
	// store, whose state is newer than that of others, and at the aggregator and the
	// standby of a zone, which the aggregators of other zones must know to send them
	// aggregates.
	maxRemoteHeartbeatsOfLead = 6
	// maxUrgentRemoteHeartbeats replaces maxRemoteHeartbeats in rounds that carry a
	// fingerprint: until all routers have it, the request goes on crashing backend
	// servers.
	maxUrgentRemoteHeartbeats = 10
	// addressesPerHeartbeat is the number of addresses of other routers in a heartbeat.
	// They are picked at random, so all addresses spread within some heartbeats.
	addressesPerHeartbeat = 2
	// fingerprintRepeats is the number of heartbeats in which each router is sent a
	// fingerprint, since some get lost.
	fingerprintRepeats = 3
	// maxFingerprints bounds the fingerprints of one heartbeat, and maxQueuedFingerprints those
	// that wait for a place in one.
	maxFingerprints       = 64
	maxQueuedFingerprints = 1024
)

// fingerprintEntry is a fingerprint with the number of rounds that still carry it.
type fingerprintEntry struct {
	fingerprint uint64
	roundsLeft  int
}

// send sends heartbeats until the context ends.
func (m *Manager) send(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		now := boottime.Now()
		for _, lost := range m.expire(now) {
			m.peerLog.addLost(lost)
			m.local.RemoveUsages(lost)
		}
		m.peerLog.log(now)
		m.traffic.log(now)
		m.local.SetUsages(otherZones, m.refreshOtherZones(now))
		m.sendRound(round, now)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// sendRound sends the heartbeats of one round.
func (m *Manager) sendRound(round int, now boottime.Instant) {
	targets := m.targets(now)
	common := m.commonHeartbeat(now, len(targets))
	own := usage{loads: m.local.Loads(), usages: m.local.Usages(), paces: splitPaces(m.local.Paces(), now), at: now}
	if len(targets) <= smallFleetSize {
		m.sendHeartbeats(targets, common, own, m.pacesDue(round, 1), encodedAggregate{})
		return
	}
	local, remote := m.splitByZone(targets)
	pacesDue := m.pacesDue(round, roundsPerCycle(len(local), maxZoneHeartbeats))
	local = targetsOfRound(local, round, maxZoneHeartbeats)
	// Routers that start together have equal round numbers. Without an offset, all
	// routers of a zone would send to the same remote router in one round, which would
	// then receive none for a whole cycle.
	remoteRound := round + int(m.hash%uint64(len(targets)))
	if !m.isAggregator(now) {
		m.sendHeartbeats(local, common, own, pacesDue, encodedAggregate{})
		remote = targetsOfRound(remote, remoteRound, m.remoteHeartbeatLimit(m.watchesStoreAt(now) || m.isStandby(now)))
		if round%standbyRounds == 0 {
			remote = lo.Union(remote, m.aggregateSenders())
		}
		m.sendHeartbeats(remote, common, usage{}, false, encodedAggregate{})
		return
	}
	forwarded, covered := m.otherZonesUsage(now, pacesDue)
	m.otherZonesLog.update(forwarded, now)
	for receiver, group := range m.groupByState(local, &m.otherZonesLog) {
		m.sendHeartbeats(group, common, own, pacesDue, receiver.encode(&m.otherZonesLog, forwarded, covered, pacesDue))
	}
	remoteReceivers := m.aggregateTargets(round, now)
	remote = targetsOfRound(remote, remoteRound, m.remoteHeartbeatLimit(true))
	m.sendHeartbeats(lo.Without(remote, remoteReceivers...), common, usage{}, false, encodedAggregate{})
	// In these rounds the standby routers receive the aggregate too.
	standbyDue := round%standbyRounds == 0
	total := m.aggregateZone(own, now, standbyDue)
	m.zoneLog.update(total, now)
	for receiver, group := range m.groupByState(remoteReceivers, &m.zoneLog) {
		m.sendHeartbeats(group, common, usage{}, false, receiver.encode(&m.zoneLog, total, []fleet.Zone{m.zone}, standbyDue))
	}
}

// remoteHeartbeatLimit returns the maximum number of heartbeats of a round to other
// zones. leads is set for a router that watches the store, aggregates its zone or is the
// standby.
func (m *Manager) remoteHeartbeatLimit(leads bool) int {
	switch {
	case len(m.fingerprints) > 0:
		return maxUrgentRemoteHeartbeats
	case leads:
		return maxRemoteHeartbeatsOfLead
	}
	return maxRemoteHeartbeats
}

// aggregateTargets returns the routers that receive the aggregate of this zone in a
// round: the aggregators of the other zones, and every standbyRounds rounds their standby
// routers.
func (m *Manager) aggregateTargets(round int, now boottime.Instant) []fleet.Address {
	var targets []fleet.Address
	for zone, receivers := range m.aggregateReceivers(now) {
		aggregator := receivers[0]
		if known := m.aggregatorOf(zone, now); known != "" {
			aggregator = known
		}
		targets = append(targets, aggregator)
		if round%standbyRounds == 0 {
			targets = append(targets, lo.Without(receivers, aggregator)...)
		}
	}
	return targets
}

// roundsPerCycle returns the number of rounds in which all targets are sent to once.
func roundsPerCycle(targets, perRound int) int { return max((targets+perRound-1)/perRound, 1) }

// targetsOfRound returns the targets of a round, so that each target is included once in
// as few rounds as the limit allows.
func targetsOfRound(targets []fleet.Address, round, perRound int) []fleet.Address {
	all := roundsPerCycle(len(targets), perRound)
	if all == 1 {
		return targets
	}
	slices.Sort(targets)
	return lo.Filter(targets, func(_ fleet.Address, index int) bool { return index%all == round%all })
}

// sendHeartbeats sends the targets the common part, this router's own usage, with the
// usual work times if due, and aggregates of zones.
func (m *Manager) sendHeartbeats(targets []fleet.Address, common *peeringpb.Beat, own usage, withUsual bool, aggregates encodedAggregate) {
	if len(targets) == 0 {
		return
	}
	heartbeat := proto.CloneOf(common)
	heartbeat.Echoes = m.echoes(targets)
	heartbeat.Uses = encodeUsages(own.usages)
	heartbeat.Loads = encodeLoads(own.loads)
	heartbeat.Paces, heartbeat.Slowed = own.paces.encode(withUsual, boottime.Instant(common.Clock))
	heartbeat.Held = m.heldAggregates(targets)
	heartbeat.Sums, heartbeat.SumChanges = aggregates.full, aggregates.deltas
	data, err := proto.Marshal(heartbeat)
	if err != nil {
		panic(err) // only invalid UTF-8 can't be encoded
	}
	what := messageHeartbeat
	if aggregates != (encodedAggregate{}) {
		what = messageAggregate
	}
	for _, target := range targets {
		m.network.Send(data, target)
		m.traffic.count(what, m.inOwnZone(target), len(data))
	}
}

// commonHeartbeat returns the part of a round's heartbeats that is the same for all
// targets.
func (m *Manager) commonHeartbeat(now boottime.Instant, targets int) *peeringpb.Beat {
	view := m.options.State.View()
	heartbeat := &peeringpb.Beat{
		Address:     string(m.options.Address),
		Zone:        string(m.options.Zone),
		Incarnation: m.options.Incarnation,
		Clock:       int64(now),
		Version:     view.Version(),
		ConfigAge:   configurationAge(view, now),
		Digest:      view.Digest,
		Era:         view.Position.Era,
		Revision:    view.Position.Revision,
		ListAge:     ageAt(view.ListConfirmedAt, now),
		ContactAge:  ageAt(view.StoreContact, now),
		Evacuations: encodeEvacuations(&view.Evacuations, now),
		Broken:      m.nextFingerprints(roundsPerCycle(targets, maxUrgentRemoteHeartbeats)),
		Routers:     lo.Map(lo.Samples(m.reachableRouters(now), addressesPerHeartbeat), func(address fleet.Address, _ int) string { return string(address) }),
	}
	m.addSoftwareHistory(heartbeat, view, now)
	return heartbeat
}

// configurationAge returns the age of the configuration in nanoseconds, -1 if it is unknown. It is
// unknown as well while another router may have a newer configuration: otherwise two routers that
// have just started would confirm the older configuration of a restored store to each other.
func configurationAge(view *knowledge.View, now boottime.Instant) int64 {
	if !view.KnowsNewest() {
		return -1
	}
	return ageAt(view.ConfigurationConfirmedAt, now)
}

// ageAt returns the age in nanoseconds, -1 if the time is unknown.
func ageAt(since, now boottime.Instant) int64 {
	if since == 0 {
		return -1
	}
	return int64(now.Sub(since))
}

// nextFingerprints returns the fingerprints that this round carries. Each is carried
// until every router has been sent it fingerprintRepeats times, where a cycle through the
// routers takes the given number of rounds.
func (m *Manager) nextFingerprints(rounds int) []uint64 {
	for _, fingerprint := range m.local.TakeCrashFingerprints() {
		m.fingerprints = append(m.fingerprints, fingerprintEntry{fingerprint: fingerprint, roundsLeft: fingerprintRepeats * rounds})
	}
	m.fingerprints = m.fingerprints[:min(len(m.fingerprints), maxQueuedFingerprints)]
	var carried []uint64
	kept := m.fingerprints[:0]
	for _, entry := range m.fingerprints {
		if len(carried) < maxFingerprints {
			carried = append(carried, entry.fingerprint)
			entry.roundsLeft--
		}
		if entry.roundsLeft > 0 {
			kept = append(kept, entry)
		}
	}
	m.fingerprints = kept
	return carried
}
