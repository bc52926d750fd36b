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

// Sums are told as what has changed since a beat whose sums the receiver is known to hold:
// its own beats tell the clock of that one. Values are absolute and each set of changes
// leads on from all beats since its base, so lost or repeated beats need no care, and each
// sender's sums stand alone. A receiver whose sums are older than the base keeps them as
// they are, and its next beat lets the sender go back to that base. One that tells no clock
// that the sender knows gets the whole.

const (
	// sumsRefresh is the pause after which all are told the whole again, so that no
	// disagreement lasts.
	sumsRefresh = 5 * time.Minute
	// unusedNumbers is how many numbers may belong to nothing in use, beyond twice those
	// that do, until all are given anew, and renumberPause the least time between: while
	// sums get lost for a moment, nothing seems to be in use.
	unusedNumbers = 100
	renumberPause = 30 * time.Second
	// loadTolerance is the part by which prompt tokens and memory may differ from what
	// the receiver knows.
	loadTolerance = 0.05
	// useTolerance is the part of an account's use, and of what accounts got in the mean,
	// by which the use may differ from what the receiver knows. The level of shares is not
	// below the mean, so that neither part moves an account's standing by more.
	useTolerance = 0.05
	// useUnit is the tokens that a unit of use stands for in changes.
	useUnit = 16
	// leastUse is the tokens below which a use is forgotten, far below one request.
	leastUse = 1
)

// loadEntry is a load as it was told last.
type loadEntry struct {
	backend uint32
	number  uint32
	since   boottime.Instant // when it was told first, with its number
	changed boottime.Instant
	load    gate.BackendLoad
}

// useEntry is an account's use as it was told last, as of the change.
type useEntry struct {
	account fleet.Account
	number  uint32
	since   boottime.Instant // when it was told first, with its number
	changed boottime.Instant
	use     shares.Usage
}

// sumLog remembers when which part of the sums that this router tells has changed.
type sumLog struct {
	began  boottime.Instant // receivers that hold older sums are told the whole
	last   boottime.Instant
	loads  []*loadEntry // in the order of their numbers
	uses   []*useEntry  // in the order of their numbers
	loadOf map[uint32]*loadEntry
	useOf  map[fleet.Account]*useEntry
}

// update takes what the sums are at the moment, which is the clock of the beats that tell
// them.
func (l *sumLog) update(total use, now boottime.Instant) {
	if l.endsAt(total, now) {
		*l = sumLog{began: now, loadOf: make(map[uint32]*loadEntry), useOf: make(map[fleet.Account]*useEntry)}
	}
	l.last = now
	l.updateLoads(total.loads, now)
	l.updateUses(total.uses, now)
}

// endsAt tells whether all are told the whole anew, with new numbers.
func (l *sumLog) endsAt(total use, now boottime.Instant) bool {
	age := now.Sub(l.began)
	if l.began == 0 || age > sumsRefresh {
		return true
	}
	inUse := len(total.loads) + len(total.uses)
	return age > renumberPause && len(l.loads)+len(l.uses) > 2*inUse+unusedNumbers
}

func (l *sumLog) updateLoads(loads map[uint32]gate.BackendLoad, now boottime.Instant) {
	for backend := range loads {
		if l.loadOf[backend] == nil {
			entry := &loadEntry{backend: backend, number: uint32(len(l.loads))}
			l.loads, l.loadOf[backend] = append(l.loads, entry), entry
		}
	}
	for _, entry := range l.loads {
		if load := loads[entry.backend]; !closeLoads(entry.load, load) {
			entry.load, entry.changed = load, now
			entry.since = firstOf(entry.since, now)
		}
	}
}

func (l *sumLog) updateUses(uses map[fleet.Account]shares.Usage, now boottime.Instant) {
	for account := range uses {
		if l.useOf[account] == nil {
			entry := &useEntry{account: account, number: uint32(len(l.uses))}
			l.uses, l.useOf[account] = append(l.uses, entry), entry
		}
	}
	mean := meanGot(uses)
	for _, entry := range l.uses {
		if use := uses[entry.account]; !closeUses(entry.at(now), use, mean) {
			entry.use, entry.changed = use, now
			entry.since = firstOf(entry.since, now)
		}
	}
}

// firstOf returns since, or the moment if it is not set.
func firstOf(since, now boottime.Instant) boottime.Instant {
	if since == 0 {
		return now
	}
	return since
}

// at returns the use as a receiver that was told it takes it to be at the moment.
func (e *useEntry) at(now boottime.Instant) shares.Usage { return e.use.Decayed(now.Sub(e.changed)) }

// meanGot returns what accounts got in the mean.
func meanGot(uses map[fleet.Account]shares.Usage) float64 {
	got := 0.0
	for _, use := range uses {
		got += use.Granted + use.Idle
	}
	return got / float64(max(len(uses), 1))
}

// closeLoads tells whether a load need not be told anew. How many requests run is always
// told.
func closeLoads(told, is gate.BackendLoad) bool {
	return told.Running == is.Running &&
		math.Abs(told.Pending-is.Pending) <= loadTolerance*is.Pending &&
		math.Abs(told.Memory-is.Memory) <= loadTolerance*is.Memory
}

// closeUses tells whether a use need not be told anew.
func closeUses(told, is shares.Usage, mean float64) bool {
	isClose := func(told, is float64) bool { return math.Abs(told-is) <= useTolerance*(mean+is) }
	return isClose(told.Requested, is.Requested) && isClose(told.Granted, is.Granted) && isClose(told.Idle, is.Idle)
}

// base returns the clock from which a receiver that holds sums up to a clock can be told
// changes, 0 if it must be told the whole.
func (l *sumLog) base(held boottime.Instant) boottime.Instant {
	if held < l.began || held > l.last {
		return 0
	}
	return held
}

// since returns what has changed since the base.
func (l *sumLog) since(base boottime.Instant) *peeringpb.SumChanges {
	changes := &peeringpb.SumChanges{Base: int64(base)}
	l.addLoads(changes, base)
	l.addUses(changes, base)
	return changes
}

func (l *sumLog) addLoads(changes *peeringpb.SumChanges, base boottime.Instant) {
	before := uint32(0)
	for _, entry := range l.loads {
		if entry.changed <= base {
			continue
		}
		if entry.since > base {
			changes.Backend = append(changes.Backend, entry.backend)
			changes.BackendNumber = append(changes.BackendNumber, entry.number)
		}
		changes.LoadStep = append(changes.LoadStep, entry.number-before)
		before = entry.number
		changes.Running = append(changes.Running, uint32(max(entry.load.Running, 0)))
		changes.Pending = append(changes.Pending, loadUnits(entry.load.Pending))
		changes.Memory = append(changes.Memory, loadUnits(entry.load.Memory))
	}
}

func (l *sumLog) addUses(changes *peeringpb.SumChanges, base boottime.Instant) {
	before := uint32(0)
	for _, entry := range l.uses {
		if entry.changed <= base {
			continue
		}
		if entry.since > base {
			changes.Account = append(changes.Account, string(entry.account))
			changes.AccountNumber = append(changes.AccountNumber, entry.number)
		}
		changes.UseStep = append(changes.UseStep, entry.number-before)
		before = entry.number
		use := entry.at(l.last)
		changes.Asked = append(changes.Asked, useUnits(use.Requested))
		changes.Got = append(changes.Got, useUnits(use.Granted))
		changes.Idle = append(changes.Idle, useUnits(use.Idle))
	}
}

func useUnits(tokens float64) uint64 { return uint64(math.Round(max(tokens, 0) / useUnit)) }

// newHeld returns sums that are empty, to which changes can be applied.
func newHeld(now boottime.Instant) *sums {
	return &sums{use: newUse(now), backends: make(map[uint32]uint32), accounts: make(map[uint32]fleet.Account)}
}

// apply applies changes that a beat with the clock told. If they name an unknown number,
// the sums hold no clock from then on, so that the whole is told next.
func (s *sums) apply(changes *peeringpb.SumChanges, clock int64, now boottime.Instant) {
	// By the sender's clock, as the beat before may have come late.
	s.decayUses(time.Duration(clock - s.clock))
	s.clock, s.at = clock, now
	s.zones = lo.Map(changes.Zones, func(zone string, _ int) fleet.Zone { return fleet.Zone(zone) })
	s.paces = decodePaces(changes.Paces, changes.Slowed, now).or(s.paces)
	for i := range min(len(changes.Backend), len(changes.BackendNumber)) {
		s.backends[changes.BackendNumber[i]] = changes.Backend[i]
	}
	for i := range min(len(changes.Account), len(changes.AccountNumber)) {
		s.accounts[changes.AccountNumber[i]] = fleet.Account(changes.Account[i])
	}
	s.applyLoads(changes)
	s.applyUses(changes)
}

func (s *sums) applyLoads(changes *peeringpb.SumChanges) {
	number := uint32(0)
	for i := range min(len(changes.LoadStep), len(changes.Running), len(changes.Pending), len(changes.Memory)) {
		number += changes.LoadStep[i]
		backend, known := s.backends[number]
		if !known {
			s.clock = 0
			continue
		}
		load := gate.BackendLoad{
			Running: int(changes.Running[i]),
			Pending: float64(changes.Pending[i]) * loadUnit,
			Memory:  float64(changes.Memory[i]) * loadUnit,
		}
		s.loads[backend] = load
		if load == (gate.BackendLoad{}) {
			delete(s.loads, backend)
		}
	}
}

// decayUses lets the time pass, and forgets uses of which nothing is left.
func (s *sums) decayUses(passed time.Duration) {
	for account, use := range s.uses {
		use = use.Decayed(passed)
		s.uses[account] = use
		if use.Requested+use.Granted+use.Idle < leastUse {
			delete(s.uses, account)
		}
	}
}

func (s *sums) applyUses(changes *peeringpb.SumChanges) {
	number := uint32(0)
	for i := range min(len(changes.UseStep), len(changes.Asked), len(changes.Got), len(changes.Idle)) {
		number += changes.UseStep[i]
		account, known := s.accounts[number]
		if !known {
			s.clock = 0
			continue
		}
		s.uses[account] = shares.Usage{
			Requested: float64(changes.Asked[i]) * useUnit,
			Granted:   float64(changes.Got[i]) * useUnit,
			Idle:      float64(changes.Idle[i]) * useUnit,
		}
	}
}

// takeChanges takes the changes of a beat, nil if it has none.
func (t *table) takeChanges(changes *peeringpb.SumChanges, clock int64, from fleet.Address, now boottime.Instant) {
	if changes == nil || slices.Contains(changes.Zones, string(t.zone)) {
		return
	}
	held := t.told[from]
	if changes.Base == 0 {
		whole := newHeld(now)
		if held != nil {
			whole.paces = held.paces
		}
		whole.apply(changes, clock, now)
		t.told[from] = whole
		return
	}
	if held == nil || held.clock < changes.Base {
		return
	}
	held.apply(changes, clock, now)
}

// endChanges lets no more changes be applied to the sums of a router whose process started
// again: its clocks and numbers count anew.
func (t *table) endChanges(from fleet.Address) {
	if held := t.told[from]; held != nil {
		held.clock = 0
	}
}

// takeHeld takes which sums of this router the sender of a beat holds.
func (t *table) takeHeld(known *peer, held *peeringpb.Held) {
	known.takesChanges, known.held = held != nil, 0
	for i := range min(len(held.GetRouter()), len(held.GetClock())) {
		if held.Router[i] == t.hash {
			known.held = boottime.Instant(held.Clock[i])
		}
	}
}

// held returns which sums of the routers this one holds.
func (t *table) held(routers []fleet.Address) *peeringpb.Held {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := &peeringpb.Held{}
	for _, router := range routers {
		if told := t.told[router]; told != nil && told.clock != 0 {
			held.Router = append(held.Router, hashOf(router))
			held.Clock = append(held.Clock, told.clock)
		}
	}
	return held
}

// sumReceiver is how a router is told sums.
type sumReceiver struct {
	takesChanges bool
	base         boottime.Instant // 0 for the whole
}

// byBase divides the targets by what they are told of a log.
func (t *table) byBase(targets []fleet.Address, log *sumLog) map[sumReceiver][]fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.GroupBy(targets, func(address fleet.Address) sumReceiver {
		known := t.peers[address]
		if known == nil || !known.takesChanges {
			return sumReceiver{}
		}
		return sumReceiver{takesChanges: true, base: log.base(known.held)}
	})
}

// sumSenders returns the routers of other zones whose sums this one holds.
func (t *table) sumSenders() []fleet.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	var senders []fleet.Address
	for from, told := range t.told {
		if known := t.peers[from]; known != nil && known.zone != t.zone && told.clock != 0 {
			senders = append(senders, from)
		}
	}
	return senders
}

// told returns the sums as a receiver is told them.
func (r sumReceiver) told(log *sumLog, total use, zones []fleet.Zone, pacesDue bool) summed {
	if !r.takesChanges {
		return summed{whole: encodeSums(total, zones, pacesDue)}
	}
	changes := log.since(r.base)
	changes.Zones = zoneNames(zones)
	changes.Paces, changes.Slowed = total.paces.carry(pacesDue, total.at)
	return summed{changes: changes}
}

// summed are the sums of a beat: one of both, or none.
type summed struct {
	whole   *peeringpb.Sums
	changes *peeringpb.SumChanges
}
