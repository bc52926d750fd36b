package peering

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// Aggregates are sent as deltas from an earlier heartbeat, the base, whose aggregate the
// receiver is known to hold: the receiver's heartbeats report that heartbeat's clock.
// Values are absolute, and a delta covers everything since its base, so lost or repeated
// heartbeats need no handling. Aggregates of different senders are independent. A
// receiver whose aggregate is older than the base keeps it unchanged, and its next
// heartbeat makes the sender return to the older base. A receiver that reports no clock
// known to the sender is sent the aggregate in full.

const (
	// fullResendInterval is the interval after which the aggregate is sent in full again,
	// so that no inconsistency persists.
	fullResendInterval = 5 * time.Minute
	// maxUnusedNumbers is how many assigned numbers, beyond twice the number in use, may
	// be unused until all are reassigned. minRenumberInterval is the minimum interval
	// between reassignments: while aggregates are lost for a short time, nothing seems to
	// be in use.
	maxUnusedNumbers    = 100
	minRenumberInterval = 30 * time.Second
	// loadTolerance is the fraction by which prompt tokens and memory may differ from the
	// values that the receiver holds.
	loadTolerance = 0.05
	// usageTolerance is the fraction of the account's usage plus the mean granted to
	// accounts by which a usage may differ from the value that the receiver holds. The
	// max-min fair share is not below the mean, so neither term moves an account's usage
	// relative to its share by more than this fraction.
	usageTolerance = 0.05
	// tokensPerUsageUnit is the resolution of usages in deltas.
	tokensPerUsageUnit = 16
	// minUsageTokens is the usage below which an entry is removed. It is far below one
	// request.
	minUsageTokens = 1
)

// loadEntry is a load as last sent.
type loadEntry struct {
	backend    uint32
	number     uint32
	numberedAt boottime.Instant // when it was first sent with its number
	changedAt  boottime.Instant
	load       gate.BackendLoad
}

// usageEntry is an account's usage as last sent, as of changedAt.
type usageEntry struct {
	account    fleet.Account
	number     uint32
	numberedAt boottime.Instant // when it was first sent with its number
	changedAt  boottime.Instant
	usage      shares.Usage
}

// aggregateLog records when each entry of the aggregate that this router sends last
// changed.
type aggregateLog struct {
	startedAt boottime.Instant // receivers with older aggregates are sent the full one
	updatedAt boottime.Instant
	loads     []*loadEntry  // by number
	usages    []*usageEntry // by number
	loadOf    map[uint32]*loadEntry
	usageOf   map[fleet.Account]*usageEntry
}

// update records the aggregate as of now, which is the clock of the heartbeats that carry
// it.
func (l *aggregateLog) update(total usage, now boottime.Instant) {
	if l.needsReset(total, now) {
		*l = aggregateLog{startedAt: now, loadOf: make(map[uint32]*loadEntry), usageOf: make(map[fleet.Account]*usageEntry)}
	}
	l.updatedAt = now
	l.updateLoads(total.loads, now)
	l.updateUsages(total.usages, now)
}

// needsReset reports whether the aggregate is sent in full again, with new numbers.
func (l *aggregateLog) needsReset(total usage, now boottime.Instant) bool {
	age := now.Sub(l.startedAt)
	if l.startedAt == 0 || age > fullResendInterval {
		return true
	}
	inUse := len(total.loads) + len(total.usages)
	return age > minRenumberInterval && len(l.loads)+len(l.usages) > 2*inUse+maxUnusedNumbers
}

// updateLoads numbers new entries, and records the loads that have changed by more than
// loadTolerance since they were last sent.
func (l *aggregateLog) updateLoads(loads map[uint32]gate.BackendLoad, now boottime.Instant) {
	for backend := range loads {
		if l.loadOf[backend] == nil {
			entry := &loadEntry{backend: backend, number: uint32(len(l.loads))}
			l.loads, l.loadOf[backend] = append(l.loads, entry), entry
		}
	}
	for _, entry := range l.loads {
		if load := loads[entry.backend]; !loadsWithinTolerance(entry.load, load) {
			entry.load, entry.changedAt = load, now
			entry.numberedAt = firstSet(entry.numberedAt, now)
		}
	}
}

// updateUsages numbers new entries, and records the usages that have changed by more than
// usageTolerance since they were last sent.
func (l *aggregateLog) updateUsages(usages map[fleet.Account]shares.Usage, now boottime.Instant) {
	for account := range usages {
		if l.usageOf[account] == nil {
			entry := &usageEntry{account: account, number: uint32(len(l.usages))}
			l.usages, l.usageOf[account] = append(l.usages, entry), entry
		}
	}
	mean := meanGranted(usages)
	for _, entry := range l.usages {
		if usage := usages[entry.account]; !usagesWithinTolerance(entry.decayed(now), usage, mean) {
			entry.usage, entry.changedAt = usage, now
			entry.numberedAt = firstSet(entry.numberedAt, now)
		}
	}
}

// firstSet returns since, or now if since is not set.
func firstSet(since, now boottime.Instant) boottime.Instant {
	if since == 0 {
		return now
	}
	return since
}

// decayed returns the usage as a receiver sees it at the given time.
func (e *usageEntry) decayed(now boottime.Instant) shares.Usage {
	return e.usage.Decayed(now.Sub(e.changedAt))
}

// meanGranted returns the mean of the tokens granted to accounts.
func meanGranted(usages map[fleet.Account]shares.Usage) float64 {
	granted := 0.0
	for _, usage := range usages {
		granted += usage.Granted + usage.Idle
	}
	return granted / float64(max(len(usages), 1))
}

// loadsWithinTolerance reports whether a load need not be sent again. A changed number of
// running requests is always sent.
func loadsWithinTolerance(sent, current gate.BackendLoad) bool {
	return sent.Running == current.Running &&
		math.Abs(sent.Pending-current.Pending) <= loadTolerance*current.Pending &&
		math.Abs(sent.Memory-current.Memory) <= loadTolerance*current.Memory
}

// usagesWithinTolerance reports whether a usage need not be sent again.
func usagesWithinTolerance(sent, current shares.Usage, mean float64) bool {
	isClose := func(sent, current float64) bool { return math.Abs(sent-current) <= usageTolerance*(mean+current) }
	return isClose(sent.Requested, current.Requested) && isClose(sent.Granted, current.Granted) && isClose(sent.Idle, current.Idle)
}

// base returns the clock since which a receiver is sent deltas, given the clock that it
// holds, or 0 if it must be sent the full aggregate.
func (l *aggregateLog) base(held boottime.Instant) boottime.Instant {
	if held < l.startedAt || held > l.updatedAt {
		return 0
	}
	return held
}

// deltasSince returns what has changed since the base.
func (l *aggregateLog) deltasSince(base boottime.Instant) *peeringpb.SumChanges {
	changes := &peeringpb.SumChanges{Base: int64(base)}
	l.addLoads(changes, base)
	l.addUsages(changes, base)
	return changes
}

// addLoads adds the loads that have changed since the base. Entries are in order of their
// numbers, which are sent as differences; a number that the receiver does not know yet is
// sent together with its incarnation hash.
func (l *aggregateLog) addLoads(changes *peeringpb.SumChanges, base boottime.Instant) {
	before := uint32(0)
	for _, entry := range l.loads {
		if entry.changedAt <= base {
			continue
		}
		if entry.numberedAt > base {
			changes.Backend = append(changes.Backend, entry.backend)
			changes.BackendNumber = append(changes.BackendNumber, entry.number)
		}
		changes.LoadStep = append(changes.LoadStep, entry.number-before)
		before = entry.number
		changes.Running = append(changes.Running, uint32(max(entry.load.Running, 0)))
		changes.Pending = append(changes.Pending, toLoadUnits(entry.load.Pending))
		changes.Memory = append(changes.Memory, toLoadUnits(entry.load.Memory))
	}
}

// addUsages is like addLoads for the usages of accounts.
func (l *aggregateLog) addUsages(changes *peeringpb.SumChanges, base boottime.Instant) {
	before := uint32(0)
	for _, entry := range l.usages {
		if entry.changedAt <= base {
			continue
		}
		if entry.numberedAt > base {
			changes.Account = append(changes.Account, string(entry.account))
			changes.AccountNumber = append(changes.AccountNumber, entry.number)
		}
		changes.UseStep = append(changes.UseStep, entry.number-before)
		before = entry.number
		usage := entry.decayed(l.updatedAt)
		changes.Asked = append(changes.Asked, toUsageUnits(usage.Requested))
		changes.Got = append(changes.Got, toUsageUnits(usage.Granted))
		changes.Idle = append(changes.Idle, toUsageUnits(usage.Idle))
	}
}

func toUsageUnits(tokens float64) uint64 {
	return uint64(math.Round(max(tokens, 0) / tokensPerUsageUnit))
}

// newAggregate returns an empty aggregate to which deltas can be applied.
func newAggregate(now boottime.Instant) *aggregate {
	return &aggregate{usage: newUsage(now), backendOf: make(map[uint32]uint32), accountOf: make(map[uint32]fleet.Account)}
}

// apply applies deltas from a heartbeat with the given clock. If they contain an unknown
// number, the clock is reset so that the sender sends the full aggregate next.
func (a *aggregate) apply(changes *peeringpb.SumChanges, clock int64, now boottime.Instant) {
	// Decay by the sender's clock, as the previous heartbeat may have been delayed.
	a.decayUsages(time.Duration(clock - a.clock))
	a.clock, a.at = clock, now
	a.zones = lo.Map(changes.Zones, func(zone string, _ int) fleet.Zone { return fleet.Zone(zone) })
	a.paces = decodePaces(changes.Paces, changes.Slowed, now).orPrevious(a.paces)
	for i := range min(len(changes.Backend), len(changes.BackendNumber)) {
		a.backendOf[changes.BackendNumber[i]] = changes.Backend[i]
	}
	for i := range min(len(changes.Account), len(changes.AccountNumber)) {
		a.accountOf[changes.AccountNumber[i]] = fleet.Account(changes.Account[i])
	}
	a.applyLoads(changes)
	a.applyUsages(changes)
}

// applyLoads is the reverse of aggregateLog.addLoads.
func (a *aggregate) applyLoads(changes *peeringpb.SumChanges) {
	number := uint32(0)
	for i := range min(len(changes.LoadStep), len(changes.Running), len(changes.Pending), len(changes.Memory)) {
		number += changes.LoadStep[i]
		backend, known := a.backendOf[number]
		if !known {
			a.clock = 0
			continue
		}
		load := gate.BackendLoad{
			Running: int(changes.Running[i]),
			Pending: float64(changes.Pending[i]) * tokensPerLoadUnit,
			Memory:  float64(changes.Memory[i]) * tokensPerLoadUnit,
		}
		a.loads[backend] = load
		if load == (gate.BackendLoad{}) {
			delete(a.loads, backend)
		}
	}
}

// decayUsages decays usages by the time passed and removes those below minUsageTokens.
func (a *aggregate) decayUsages(passed time.Duration) {
	for account, usage := range a.usages {
		usage = usage.Decayed(passed)
		a.usages[account] = usage
		if usage.Requested+usage.Granted+usage.Idle < minUsageTokens {
			delete(a.usages, account)
		}
	}
}

// applyUsages is the reverse of aggregateLog.addUsages.
func (a *aggregate) applyUsages(changes *peeringpb.SumChanges) {
	number := uint32(0)
	for i := range min(len(changes.UseStep), len(changes.Asked), len(changes.Got), len(changes.Idle)) {
		number += changes.UseStep[i]
		account, known := a.accountOf[number]
		if !known {
			a.clock = 0
			continue
		}
		a.usages[account] = shares.Usage{
			Requested: float64(changes.Asked[i]) * tokensPerUsageUnit,
			Granted:   float64(changes.Got[i]) * tokensPerUsageUnit,
			Idle:      float64(changes.Idle[i]) * tokensPerUsageUnit,
		}
	}
}

// applyDeltas applies the deltas of a heartbeat, nil if it has none.
func (t *table) applyDeltas(changes *peeringpb.SumChanges, clock int64, from fleet.Address, now boottime.Instant) {
	if changes == nil || slices.Contains(changes.Zones, string(t.zone)) {
		return
	}
	held := t.aggregates[from]
	if changes.Base == 0 {
		full := newAggregate(now)
		if held != nil {
			full.paces = held.paces
		}
		full.apply(changes, clock, now)
		t.aggregates[from] = full
		return
	}
	if held == nil || held.clock == 0 || held.clock < changes.Base {
		return
	}
	held.apply(changes, clock, now)
}

// invalidateClock prevents further deltas from being applied to the aggregate of a router
// whose process has restarted, since its clock and numbers have started again.
func (t *table) invalidateClock(from fleet.Address) {
	if held := t.aggregates[from]; held != nil {
		held.clock = 0
	}
}

// setHeldClock records which aggregate of this router the heartbeat's sender holds.
func (t *table) setHeldClock(known *peer, held *peeringpb.Held) {
	known.acceptsDeltas, known.heldClock = held != nil, 0
	for i := range min(len(held.GetRouter()), len(held.GetClock())) {
		if held.Router[i] == t.hash {
			known.heldClock = boottime.Instant(held.Clock[i])
		}
	}
}

// heldAggregates returns the clocks of the aggregates that this router holds of the given
// routers.
func (t *table) heldAggregates(routers []fleet.Address) *peeringpb.Held {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := &peeringpb.Held{}
	for _, router := range routers {
		if aggregate := t.aggregates[router]; aggregate != nil && aggregate.clock != 0 {
			held.Router = append(held.Router, addressHash(router))
			held.Clock = append(held.Clock, aggregate.clock)
		}
	}
	return held
}

// receiverState determines the form in which a receiver is sent an aggregate.
type receiverState struct {
	acceptsDeltas bool
	base          boottime.Instant // 0 for the full aggregate
}

// groupByState groups the targets by the form in which they are sent the aggregate.
func (t *table) groupByState(targets []fleet.Address, log *aggregateLog) map[receiverState][]fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.GroupBy(targets, func(address fleet.Address) receiverState {
		known := t.peers[address]
		if known == nil || !known.acceptsDeltas {
			return receiverState{}
		}
		return receiverState{acceptsDeltas: true, base: log.base(known.heldClock)}
	})
}

// aggregateSenders returns the routers of other zones whose aggregates this router holds.
func (t *table) aggregateSenders() []fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	var senders []fleet.Address
	for from, aggregate := range t.aggregates {
		if known := t.peers[from]; known != nil && known.zone != t.zone && aggregate.clock != 0 {
			senders = append(senders, from)
		}
	}
	return senders
}

// encode returns the aggregate in the form for the receiver.
func (r receiverState) encode(log *aggregateLog, total usage, zones []fleet.Zone, withUsual bool) encodedAggregate {
	if !r.acceptsDeltas {
		return encodedAggregate{full: encodeAggregate(total, zones, withUsual)}
	}
	changes := log.deltasSince(r.base)
	changes.Zones = zoneNames(zones)
	changes.Paces, changes.Slowed = total.paces.encode(withUsual, total.at)
	return encodedAggregate{deltas: changes}
}

// encodedAggregate is the aggregate of a heartbeat, in full or as deltas. Both are nil
// without one.
type encodedAggregate struct {
	full   *peeringpb.Sums
	deltas *peeringpb.SumChanges
}
