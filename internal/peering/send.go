package peering

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

const (
	// beatInterval is the pause between two rounds of beats.
	beatInterval = 100 * time.Millisecond
	// smallFleet is the number of other routers up to which each tells all of them
	// everything in each round.
	smallFleet = 10
	// zoneBeats bounds the beats of one round to routers of the own availability
	// zone, and farBeats those to others, so that a large fleet costs each of its
	// routers no more than a middling one. In a larger fleet each router hears from
	// the others more rarely.
	zoneBeats = 16
	farBeats  = 2
	// leadBeats are those of a router that follows the store or sums its zone: what
	// it knows is fresher than what others do.
	leadBeats = 6
	// urgentBeats are those of a round that carries a fingerprint: until all have
	// heard of it, the request goes on breaking backend servers.
	urgentBeats = 10
	// routersPerBeat is how many addresses of other routers a beat carries.
	// They are drawn, so all become known within some beats.
	routersPerBeat = 2
	// beatMost is the size of the largest datagram.
	beatMost = 60 << 10
	// brokenRepeats is how many beats tell a router of a fingerprint, as some get
	// lost.
	brokenRepeats = 3
)

// brokenEntry is a fingerprint that some more rounds of beats carry.
type brokenEntry struct {
	fingerprint uint64
	left        int
}

// send sends beats until the context ends.
func (m *Manager) send(ctx context.Context) error {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		now := boottime.Now()
		for _, lost := range m.expire(now) {
			m.records.noteLost(lost)
			m.local.RemoveUsages(lost)
		}
		m.records.log(now)
		m.traffic.log(now)
		m.local.SetUsages(elsewhere, m.refreshOthers(now))
		m.sendRound(round, now)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// sendRound sends the beats of one round.
func (m *Manager) sendRound(round int, now boottime.Instant) {
	targets := m.targets(now)
	common := m.common(now, len(targets))
	own := use{loads: m.local.Loads(), uses: m.local.Usages(), paces: ownPaces(m.local.Paces(), now), at: now}
	if len(targets) <= smallFleet {
		m.sendBeats(targets, common, own, m.pacesDue(round, 1), summed{})
		return
	}
	same, others := m.zoneTargets(targets)
	pacesDue := m.pacesDue(round, rounds(len(same), zoneBeats))
	same = turn(same, round, zoneBeats)
	// Routers that start together count their rounds alike. Those of other zones would all
	// tell one router in the same round, and then none for as long as a turn takes.
	roundOthers := round + int(m.hash%uint64(len(targets)))
	if !m.summing(now) {
		m.sendBeats(same, common, own, pacesDue, summed{})
		others = turn(others, roundOthers, m.beatsToOthers(m.WatchesStore()))
		if round%standbyRounds == 0 {
			others = lo.Union(others, m.sumSenders())
		}
		m.sendBeats(others, common, use{}, false, summed{})
		return
	}
	handedOn, covered := m.others(now, pacesDue)
	m.othersLog.update(handedOn, now)
	for receiver, group := range m.byBase(same, &m.othersLog) {
		m.sendBeats(group, common, own, pacesDue, receiver.told(&m.othersLog, handedOn, covered, pacesDue))
	}
	summers := m.sumTargets(round, now)
	others = turn(others, roundOthers, m.beatsToOthers(true))
	m.sendBeats(lo.Without(others, summers...), common, use{}, false, summed{})
	// These are the rounds in which the standby routers get the sums too.
	summersDue := round%standbyRounds == 0
	total := m.sumZone(own, now, summersDue)
	m.zoneLog.update(total, now)
	for receiver, group := range m.byBase(summers, &m.zoneLog) {
		m.sendBeats(group, common, use{}, false, receiver.told(&m.zoneLog, total, []fleet.Zone{m.zone}, summersDue))
	}
}

// beatsToOthers returns how many beats of a round go to other zones. leads tells
// that this router follows the store or sums its zone.
func (m *Manager) beatsToOthers(leads bool) int {
	switch {
	case len(m.broken) > 0:
		return urgentBeats
	case leads:
		return leadBeats
	}
	return farBeats
}

// sumTargets returns where the sums of this zone go in a round: to the routers that
// sum the other zones, and now and then to those that would step in.
func (m *Manager) sumTargets(round int, now boottime.Instant) []fleet.Address {
	var targets []fleet.Address
	for zone, summers := range m.summers(now) {
		acting := summers[0]
		if told := m.summerOf(zone, now); told != "" {
			acting = told
		}
		targets = append(targets, acting)
		if round%standbyRounds == 0 {
			targets = append(targets, lo.Without(summers, acting)...)
		}
	}
	return targets
}

// rounds returns in how many rounds all targets have their turn.
func rounds(targets, perRound int) int { return max((targets+perRound-1)/perRound, 1) }

// turn returns the targets of a round. All have their turn in as few rounds as
// the bound allows.
func turn(targets []fleet.Address, round, perRound int) []fleet.Address {
	all := rounds(len(targets), perRound)
	if all == 1 {
		return targets
	}
	slices.Sort(targets)
	return lo.Filter(targets, func(_ fleet.Address, index int) bool { return index%all == round%all })
}

// sendBeats sends to the targets what all are told, what this router uses, with the usual
// work times that it has seen when they are due, and the sums of whole zones.
func (m *Manager) sendBeats(targets []fleet.Address, common *peeringpb.Beat, own use, pacesDue bool, sums summed) {
	if len(targets) == 0 {
		return
	}
	beat := proto.CloneOf(common)
	beat.Echoes = m.echoes(targets)
	beat.Uses = encodeUses(own.uses)
	beat.Loads = encodeLoads(own.loads)
	beat.Paces, beat.Slowed = own.paces.carry(pacesDue, boottime.Instant(common.Clock))
	beat.Held = m.held(targets)
	beat.Sums, beat.SumChanges = sums.whole, sums.changes
	data, err := proto.Marshal(beat)
	if err != nil {
		panic(err) // only text that is no UTF-8 can't be encoded
	}
	what := messageBeat
	if sums != (summed{}) {
		what = messageSums
	}
	for _, target := range targets {
		m.network.Send(data, target)
		m.traffic.count(what, m.inOwnZone(target), len(data))
	}
}

// common returns what all routers are told in a round, of so many.
func (m *Manager) common(now boottime.Instant, targets int) *peeringpb.Beat {
	view := m.options.State.View()
	return &peeringpb.Beat{
		Address:     string(m.options.Address),
		Zone:        string(m.options.Zone),
		Incarnation: m.options.Incarnation,
		Clock:       int64(now),
		Version:     view.Version(),
		ConfigAge:   age(view.ConfigurationConfirmedAt, now),
		Digest:      view.Digest,
		Era:         view.Position.Era,
		Revision:    view.Position.Revision,
		ListAge:     age(view.ListConfirmedAt, now),
		ContactAge:  age(view.StoreContact, now),
		Evacuations: encodeEvacuations(&view.Evacuations, now),
		Broken:      m.takeBroken(rounds(targets, urgentBeats)),
		Routers:     lo.Map(lo.Samples(m.heard(now), routersPerBeat), func(address fleet.Address, _ int) string { return string(address) }),
	}
}

// age returns nanoseconds, negative when the moment is unknown.
func age(since, now boottime.Instant) int64 {
	if since == 0 {
		return -1
	}
	return int64(now.Sub(since))
}

// takeBroken returns the fingerprints that the beats of this round carry. They go
// on until each router has had its turn several times, in so many rounds each.
func (m *Manager) takeBroken(rounds int) []uint64 {
	for _, fingerprint := range m.local.TakeCrashFingerprints() {
		m.broken = append(m.broken, brokenEntry{fingerprint: fingerprint, left: brokenRepeats * rounds})
	}
	var carried []uint64
	kept := m.broken[:0]
	for _, entry := range m.broken {
		carried = append(carried, entry.fingerprint)
		entry.left--
		if entry.left > 0 {
			kept = append(kept, entry)
		}
	}
	m.broken = kept
	return carried
}
