// Package shares decides which client accounts may use the fleet's capacity when they
// request more than there is: each gets its max-min fair share.
//
// Each router keeps decaying sums of the tokens that its callers requested and were
// granted, and adds those of the other routers. There is no central decision.
package shares

import (
	"math"
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Usage is what an account has requested and was granted, in tokens.
type Usage struct {
	Requested float64
	Granted   float64 // counts against its share
	// Idle is what it was granted on otherwise idle engines. It does not count against its
	// share.
	Idle float64
}

// Add returns the sum of two usages.
func (u Usage) Add(other Usage) Usage {
	return Usage{Requested: u.Requested + other.Requested, Granted: u.Granted + other.Granted, Idle: u.Idle + other.Idle}
}

// Decayed returns what remains of the usage after the time has passed.
func (u Usage) Decayed(passed time.Duration) Usage {
	return u.times(decayFactor(passed))
}

func (u Usage) times(factor float64) Usage {
	return Usage{Requested: u.Requested * factor, Granted: u.Granted * factor, Idle: u.Idle * factor}
}

// decayTime is the time constant of the sums. It is shorter than the period in which
// users measure shares, so that an account that was idle gets its share immediately.
const decayTime = 2 * time.Second

// decayingUsage is the usage of an account at this router, decayed up to the time at.
type decayingUsage struct {
	usage   Usage
	at      boottime.Instant
	history grantHistory
}

// decay brings the usage up to date.
func (u *decayingUsage) decay(now boottime.Instant) {
	if u.at == now {
		return
	}
	u.usage = u.usage.Decayed(now.Sub(u.at))
	u.at = now
}

// decayFactor returns the fraction of a sum that remains after the time has passed.
func decayFactor(passed time.Duration) float64 {
	return math.Exp(-passed.Seconds() / decayTime.Seconds())
}

// routerUsage is the usage that another router has reported, as of the given time.
type routerUsage struct {
	usages map[fleet.Account]Usage
	at     boottime.Instant
}

// usualReportAge is the age up to which a report of another router is taken as it is. What it grants
// meanwhile is little then, and what this router grants in so short a time says little of others.
const usualReportAge = 250 * time.Millisecond

// otherUsage is the usage of an account at the other routers.
type otherUsage struct {
	usage Usage
	// unreported is what it will have been granted since late reports.
	unreported float64
	own        *decayingUsage // its usage at this router, nil for none
}

// minTracked is the sum of tokens below which an account is removed from the ledger, far
// below the cost of one request.
const minTracked = 1

// Ledger holds the usage of all accounts. It is not safe for concurrent use.
type Ledger struct {
	own    map[fleet.Account]*decayingUsage
	others map[string]routerUsage // by router

	// othersTotal is the usage at all other routers as of othersTotalAt, so that a
	// request does not have to add up hundreds of routers.
	othersTotal   map[fleet.Account]*otherUsage
	othersTotalAt boottime.Instant
	reported      int // usages that it adds up

	maxMinShare  float64
	evenShare    float64 // max-min fair share of all served tokens, including idle capacity
	shortage     float64
	computedAt   boottime.Instant
	requested    float64 // tokens requested here, and at unheard routers as far as known, since then
	capacityTest capacityTest
	unheard      int
	firstRequest boottime.Instant // when it arrived, 0 for never

	// ObserveCapacity enables dividing the observed capacity of the engines when it is
	// less than the stated one.
	ObserveCapacity bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		own:         make(map[fleet.Account]*decayingUsage),
		others:      make(map[string]routerUsage),
		othersTotal: make(map[fleet.Account]*otherUsage),
	}
}

// AddRequested adds the tokens of a request that a caller of the account made.
func (l *Ledger) AddRequested(account fleet.Account, tokens float64, now boottime.Instant) {
	l.entry(account, now).usage.Requested += tokens
	l.requested += tokens * float64(1+l.unheard)
	if l.firstRequest == 0 {
		l.firstRequest = now
	}
}

// PauseCapacityTest excludes the time from now on from the capacity test, until shares are
// next computed while accounts request more than the capacity. It is called when a request
// is refused for a reason other than the capacity of the engines; see capacityTest.
func (l *Ledger) PauseCapacityTest(now boottime.Instant) { l.capacityTest.set(false, now) }

// AddGranted adds the tokens of a request that was sent to a backend server and counts
// against the account's share.
func (l *Ledger) AddGranted(account fleet.Account, tokens float64, now boottime.Instant) {
	entry := l.entry(account, now)
	entry.usage.Granted += tokens
	entry.history.add(tokens, now)
}

// AddIdle adds the tokens of a request that was granted idle capacity.
func (l *Ledger) AddIdle(account fleet.Account, tokens float64, now boottime.Instant) {
	l.entry(account, now).usage.Idle += tokens
}

// RefundIdle reverts AddIdle for a request that was not executed.
func (l *Ledger) RefundIdle(account fleet.Account, tokens float64, now boottime.Instant) {
	entry := l.entry(account, now)
	entry.usage.Idle = max(0, entry.usage.Idle-tokens)
}

// RefundGranted reverts AddGranted for a request that was not executed.
func (l *Ledger) RefundGranted(account fleet.Account, tokens float64, now boottime.Instant) {
	entry := l.entry(account, now)
	entry.usage.Granted = max(0, entry.usage.Granted-tokens)
	entry.history.add(-tokens, now)
}

// entry returns the account's usage at this router as of now, and creates it if needed.
func (l *Ledger) entry(account fleet.Account, now boottime.Instant) *decayingUsage {
	entry := l.own[account]
	if entry == nil {
		entry = &decayingUsage{at: now}
		l.own[account] = entry
	}
	entry.decay(now)
	return entry
}

// Own returns this router's usage for the other routers.
func (l *Ledger) Own(now boottime.Instant) map[fleet.Account]Usage {
	usages := make(map[fleet.Account]Usage, len(l.own))
	for account, entry := range l.own {
		entry.decay(now)
		if entry.usage.Requested+entry.usage.Granted+entry.usage.Idle < minTracked {
			delete(l.own, account)
			continue
		}
		usages[account] = entry.usage
	}
	return usages
}

// SetOther sets the usage at another router as of the given time. The map must not be
// changed afterwards.
func (l *Ledger) SetOther(router string, usages map[fleet.Account]Usage, at boottime.Instant) {
	l.others[router] = routerUsage{usages: usages, at: at}
}

// RemoveOther removes a router that is no longer reachable.
func (l *Ledger) RemoveOther(router string) { delete(l.others, router) }

// SetUnheard sets how many routers there are, at the start of this one, whose usage it does not know
// yet. Each of them counts with the usage of this one, as if its callers had come for longer. Counted
// with nothing, they would leave all accounts their whole share at each of the routers that have just
// started, a share that is too large since few accounts are known.
func (l *Ledger) SetUnheard(routers int) {
	if l.unheard == 0 && routers > 0 {
		l.computedAt = 0 // the shares are those of this router alone
	}
	l.unheard = routers
}

// minCounted is the least time for which a router that has just started estimates what is requested.
const minCounted = 100 * time.Millisecond

// sharesTTL is how long computed shares are used, unless more is requested than there is capacity for
// in this time: a burst would be granted before it counts. Requests in between are compared with the
// current usage of their accounts.
const sharesTTL = 50 * time.Millisecond

// sumInterval is the least time between two sums of the other routers' usages, for each of the usages. A
// burst at a large fleet's router would else take more processor time to add them up than there is.
const sumInterval = 2 * time.Microsecond

// ShareUsed returns the fraction of its share that the account will have used after a
// request of this many tokens, given the fleet's capacity in tokens per second. Half of the
// request's tokens count, so that the result is at most 1 if at least half of the request
// is within the share. It is 0 while capacity suffices for all requests.
func (l *Ledger) ShareUsed(account fleet.Account, tokens, capacity float64, now boottime.Instant) float64 {
	if capacity <= 0 {
		return 0
	}
	if l.computedAt == 0 || now.Sub(l.computedAt) > sharesTTL || l.requested > capacity*sharesTTL.Seconds() {
		l.computeShares(capacity, now)
		l.computedAt, l.requested = now, 0
	}
	return (l.total(account, now).Granted + tokens/2) / l.maxMinShare
}

// MaxMinShare returns the max-min fair share in tokens, as of the last ShareUsed.
func (l *Ledger) MaxMinShare() float64 { return l.maxMinShare }

// EvenShareUsed is like ShareUsed for the account's even share: its max-min fair share of
// all tokens served recently, including those of idle capacity. It uses the shares computed
// by the last ShareUsed.
//
// Without a bound on it, idle capacity goes to the largest account alone: one with a share
// of some 900,000 tokens got 5,629,545 in six seconds, while another that requested
// 5,461,090 got 1,643,484.
func (l *Ledger) EvenShareUsed(account fleet.Account, tokens float64, now boottime.Instant) float64 {
	if l.evenShare == 0 {
		return 0
	}
	total := l.total(account, now)
	return (total.Granted + total.Idle + tokens/2) / l.evenShare
}

// Shortage returns how far the engines fall short of the stated capacity, from 0 to 1, as
// of the last ShareUsed.
func (l *Ledger) Shortage() float64 { return l.shortage }

// computeShares sets the max-min fair shares of the accounts. They are infinite, and
// there is no shortage, while the accounts request less than the capacity.
func (l *Ledger) computeShares(stated float64, now boottime.Instant) {
	requested := make([]float64, 0, len(l.own)+len(l.othersTotal))
	granted, served := 0.0, 0.0
	if l.othersTotalAt == 0 || now.Sub(l.othersTotalAt) > min(time.Duration(l.reported)*sumInterval, sharesTTL) {
		l.sumOthers(now)
	}
	add := func(total Usage) {
		requested = append(requested, total.Requested)
		granted += total.Granted
		served += total.Granted + total.Idle
	}
	for account := range l.othersTotal {
		add(l.total(account, now))
	}
	for account := range l.own {
		if _, counted := l.othersTotal[account]; !counted {
			add(l.total(account, now))
		}
	}
	capacity := stated * decayTime.Seconds()
	shortage := 0.0
	if l.ObserveCapacity {
		contested := !math.IsInf(MaxMinShare(requested, capacity), 1)
		l.capacityTest.set(contested, now)
		capacity, shortage = observedCapacity(capacity, granted, l.capacityTest.share)
	}
	l.evenShare = MaxMinShare(requested, max(capacity, servedGrowth*served))
	l.maxMinShare = MaxMinShare(requested, capacity)
	if math.IsInf(l.maxMinShare, 1) {
		shortage = 0
	}
	l.shortage = shortage
}

// MaxMinShare returns the max-min fair share: the limit L for which the sum of
// min(amount, L) over the requested amounts equals the capacity. It is infinite if all
// requested amounts fit. It sorts the amounts.
func MaxMinShare(requested []float64, capacity float64) float64 {
	slices.Sort(requested)
	remaining := capacity
	for i, amount := range requested {
		accounts := float64(len(requested) - i)
		if amount*accounts > remaining {
			return remaining / accounts
		}
		remaining -= amount
	}
	return math.Inf(1)
}

// sumOthers adds up the usage at the other routers, with what late ones will have granted since
// their reports: the same part of what they are requested as this router. Without it, an account at
// many routers gets several times its share, as all of them grant requests until they hear of each
// other.
func (l *Ledger) sumOthers(now boottime.Instant) {
	for _, total := range l.othersTotal {
		*total = otherUsage{}
	}
	l.othersTotalAt, l.reported = now, 0
	for _, router := range l.others {
		age := now.Sub(router.at)
		factor := decayFactor(age)
		l.reported += len(router.usages)
		for account, usage := range router.usages {
			total := l.othersTotal[account]
			if total == nil {
				total = &otherUsage{}
				l.othersTotal[account] = total
			}
			total.usage = total.usage.Add(usage.times(factor))
			// A router that grants the account nothing may be unable to.
			if age <= usualReportAge || usage.Granted == 0 {
				continue
			}
			if total.own == nil {
				total.own = l.own[account]
			}
			if own := total.own; own != nil && own.usage.Requested > 0 {
				own.decay(now)
				total.unreported += own.history.within(age-usualReportAge, now) * usage.Requested / own.usage.Requested
			}
		}
	}
	for account, total := range l.othersTotal {
		if total.usage == (Usage{}) {
			delete(l.othersTotal, account)
			continue
		}
		if total.unreported == 0 {
			continue
		}
		// Each router may grant the part of the bound that falls to it by its requests, whatever it
		// supposes of others.
		own := total.own.usage
		part := own.Granted * total.usage.Requested / own.Requested
		total.usage.Granted += max(min(total.unreported, part-total.usage.Granted), 0)
	}
}

// total returns the account's usage at all routers. Reports of other routers count from
// the next call of computeShares, and routers not heard yet as SetUnheard says.
func (l *Ledger) total(account fleet.Account, now boottime.Instant) Usage {
	var total Usage
	if entry := l.own[account]; entry != nil {
		entry.decay(now)
		total = entry.usage
		if l.unheard > 0 {
			total = total.times(float64(1 + l.unheard))
			total.Requested /= 1 - decayFactor(max(now.Sub(l.firstRequest), minCounted))
		}
	}
	if others, ok := l.othersTotal[account]; ok {
		total = total.Add(others.usage.Decayed(now.Sub(l.othersTotalAt)))
	}
	return total
}
