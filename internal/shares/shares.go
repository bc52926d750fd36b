// Package shares decides which client accounts may use the fleet's capacity
// when they ask for more than there is: each gets the max-min fair share.
//
// Each router counts what its callers asked and got in sums that decay, and
// takes the others' sums into account. No router owns the decision.
package shares

import (
	"math"
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Usage is what an account asked and got, in tokens.
type Usage struct {
	Requested float64
	Granted   float64 // what counts against its share
	// Idle is what it got beyond that from engines that would have stood idle.
	Idle float64
}

// Add returns the sum of two uses.
func (u Usage) Add(other Usage) Usage {
	return Usage{Requested: u.Requested + other.Requested, Granted: u.Granted + other.Granted, Idle: u.Idle + other.Idle}
}

// Decayed returns what is left of the use when the time has passed.
func (u Usage) Decayed(passed time.Duration) Usage {
	factor := decayFactor(passed)
	return Usage{Requested: u.Requested * factor, Granted: u.Granted * factor, Idle: u.Idle * factor}
}

// memory is the time constant of the decay. It is shorter than the users'
// window of shares, so that an account that was quiet gets its share at once.
const memory = 2 * time.Second

// sum is a decaying sum.
type sum struct {
	use Usage
	at  boottime.Instant
}

func (s *sum) decay(now boottime.Instant) {
	s.use = s.use.Decayed(now.Sub(s.at))
	s.at = now
}

func decayFactor(passed time.Duration) float64 {
	return math.Exp(-passed.Seconds() / memory.Seconds())
}

// told are the sums of another router as they were at the moment.
type told struct {
	uses map[fleet.Account]Usage
	at   boottime.Instant
}

// forgotten is the sum below which an account is dropped from the table, far
// below one request.
const forgotten = 1

// Ledger holds the sums of all accounts. It is not safe for concurrent use.
type Ledger struct {
	own    map[fleet.Account]*sum
	others map[string]told // by router

	// rest are the sums of the other routers together as of restAt, so that a
	// request does not add up hundreds of routers.
	rest   map[fleet.Account]Usage
	restAt boottime.Instant

	level    float64
	whole    float64 // level of all that accounts got, idle capacity included
	shortage float64
	levelAt  boottime.Instant
	tested   exposure

	// ObserveCapacity tells to divide what the engines take when that is less than the
	// stated capacity.
	ObserveCapacity bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		own:    make(map[fleet.Account]*sum),
		others: make(map[string]told),
		rest:   make(map[fleet.Account]Usage),
	}
}

// Requested counts a request that a caller of the account made.
func (l *Ledger) AddRequested(account fleet.Account, tokens float64, now boottime.Instant) {
	l.at(account, now).use.Requested += tokens
}

// PauseCapacityTest notes that callers are turned away for another reason than what engines
// can do.
func (l *Ledger) PauseCapacityTest(now boottime.Instant) { l.tested.note(false, now) }

// Granted counts a request that was sent to a backend server.
func (l *Ledger) AddGranted(account fleet.Account, tokens float64, now boottime.Instant) {
	l.at(account, now).use.Granted += tokens
}

// AddIdle counts a request that took what would have stood idle.
func (l *Ledger) AddIdle(account fleet.Account, tokens float64, now boottime.Instant) {
	l.at(account, now).use.Idle += tokens
}

// RefundIdle takes such a request back that was not run.
func (l *Ledger) RefundIdle(account fleet.Account, tokens float64, now boottime.Instant) {
	entry := l.at(account, now)
	entry.use.Idle = max(0, entry.use.Idle-tokens)
}

// RefundGranted takes back a request that was not run.
func (l *Ledger) RefundGranted(account fleet.Account, tokens float64, now boottime.Instant) {
	entry := l.at(account, now)
	entry.use.Granted = max(0, entry.use.Granted-tokens)
}

func (l *Ledger) at(account fleet.Account, now boottime.Instant) *sum {
	entry := l.own[account]
	if entry == nil {
		entry = &sum{at: now}
		l.own[account] = entry
	}
	entry.decay(now)
	return entry
}

// Own returns this router's sums for the others.
func (l *Ledger) Own(now boottime.Instant) map[fleet.Account]Usage {
	uses := make(map[fleet.Account]Usage, len(l.own))
	for account, entry := range l.own {
		entry.decay(now)
		if entry.use.Requested+entry.use.Granted+entry.use.Idle < forgotten {
			delete(l.own, account)
			continue
		}
		uses[account] = entry.use
	}
	return uses
}

// SetOther takes the sums of another router as they were at the moment. They
// must not change any more.
func (l *Ledger) SetOther(router string, uses map[fleet.Account]Usage, at boottime.Instant) {
	l.others[router] = told{uses: uses, at: at}
}

// RemoveOther forgets a router that is no longer heard.
func (l *Ledger) RemoveOther(router string) { delete(l.others, router) }

// levelLife is how long a computed level is used. Requests in between see the
// sums of the accounts as they are.
const levelLife = 50 * time.Millisecond

// ShareUsed returns how much of its share the account will have got with the
// tokens, when the fleet has capacity tokens a second for all accounts: up to 1
// it stays within its share. It is 0 while nobody has to share.
func (l *Ledger) ShareUsed(account fleet.Account, tokens, capacity float64, now boottime.Instant) float64 {
	if capacity <= 0 {
		return 0
	}
	if l.levelAt == 0 || now.Sub(l.levelAt) > levelLife {
		l.computeLevel(capacity, now)
		l.levelAt = now
	}
	return (l.total(account, now).Granted + tokens/2) / l.level
}

// MaxMinShare returns the greatest sum that an account may have got at present.
func (l *Ledger) MaxMinShare() float64 { return l.level }

// EvenShareUsed returns how much of its even part of all that was served of late, idle
// capacity included, the account will have got with the tokens. It goes by the
// last Standing.
//
// Idle capacity that is given to whoever asks most goes to the largest account
// alone: one got 5,629,545 tokens in six seconds, of which its share were some
// 900,000, while another that asked 5,461,090 got 1,643,484.
func (l *Ledger) EvenShareUsed(account fleet.Account, tokens float64, now boottime.Instant) float64 {
	if l.whole == 0 {
		return 0
	}
	total := l.total(account, now)
	return (total.Granted + total.Idle + tokens/2) / l.whole
}

// Shortage returns the part of the stated capacity that the engines lack, as of
// the last Standing.
func (l *Ledger) Shortage() float64 { return l.shortage }

// computeLevel sets the max-min level of the accounts' sums. It is infinite while
// the accounts ask for less than the capacity, and then nothing is short either.
func (l *Ledger) computeLevel(stated float64, now boottime.Instant) {
	asked := make([]float64, 0, len(l.own))
	got, all := 0.0, 0.0
	l.sumOthers(now)
	note := func(total Usage) {
		asked = append(asked, total.Requested)
		got += total.Granted
		all += total.Granted + total.Idle
	}
	for account := range l.rest {
		note(l.total(account, now))
	}
	for account := range l.own {
		if _, noted := l.rest[account]; !noted {
			note(l.total(account, now))
		}
	}
	capacity := stated * memory.Seconds()
	shortage := 0.0
	if l.ObserveCapacity {
		contested := !math.IsInf(MaxMinShare(asked, capacity), 1)
		l.tested.note(contested, now)
		capacity, shortage = observed(capacity, got, l.tested.part)
	}
	l.whole = MaxMinShare(asked, max(capacity, idleGrowth*all))
	l.level = MaxMinShare(asked, capacity)
	if math.IsInf(l.level, 1) {
		shortage = 0
	}
	l.shortage = shortage
}

// MaxMinShare returns the level L with the sum of min(asked, L) equal to the
// capacity: the max-min fair share. It is infinite when all that is asked fits.
func MaxMinShare(asked []float64, capacity float64) float64 {
	slices.Sort(asked)
	left := capacity
	for i, amount := range asked {
		rest := float64(len(asked) - i)
		if amount*rest > left {
			return left / rest
		}
		left -= amount
	}
	return math.Inf(1)
}

// sumOthers adds up the sums of the other routers.
func (l *Ledger) sumOthers(now boottime.Instant) {
	clear(l.rest)
	l.restAt = now
	for _, told := range l.others {
		passed := now.Sub(told.at)
		for account, use := range told.uses {
			l.rest[account] = l.rest[account].Add(use.Decayed(passed))
		}
	}
}

// total returns what the account asked and got at all routers. What others tell
// counts from the next level on.
func (l *Ledger) total(account fleet.Account, now boottime.Instant) Usage {
	var total Usage
	if entry := l.own[account]; entry != nil {
		entry.decay(now)
		total = entry.use
	}
	if rest, ok := l.rest[account]; ok {
		total = total.Add(rest.Decayed(now.Sub(l.restAt)))
	}
	return total
}
