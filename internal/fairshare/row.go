package fairshare

import (
	"cmp"
	"slices"
	"time"
)

// refillIntervals is the number of report intervals for which a home collects
// the reports of an account that it has just become home to.
const refillIntervals = 2

// entry is what one incarnation of an agent has reported of one account.
type entry struct {
	reporter *reporter
	sequence uint64 // of the report
	total    Units
	inFlight Units
	waiting  bool
}

// busy tells whether the agent had work of the account.
func (e *entry) busy() bool { return e.waiting || e.inFlight > 0 }

// row is the state of one account at its home.
type row struct {
	weight   Units
	entries  []entry // ordered by the reporter's id
	given    Units   // sum over all agents that ever reported
	inFlight Units   // sum over the live agents
	agents   int     // live agents that have work of the account
	holders  int     // the same, with those silent for a short time
	shift    Units   // of the clock: lifts less forgiven debts

	// A row is refilled when agents still know a clock that an earlier home
	// had answered: its own sum lacks what agents had given that are gone.
	refilling bool
	known     Units // largest clock that an agent believed in
	readyAt   time.Time
}

// clock is the account's service per weight.
func (r *row) clock() Units { return (r.given+r.inFlight)/r.weight + r.shift }

// counts tells whether the row takes part in the virtual time.
func (r *row) counts() bool { return r.agents > 0 && !r.refilling }

// take replaces what an incarnation of an agent has reported, unless it is
// older than what is held.
func (r *row) take(sender *reporter, sequence uint64, charge Charge) {
	e := r.entry(sender, charge)
	if sequence <= e.sequence {
		return
	}
	r.remove(e)
	r.given += charge.Total - e.total
	e.sequence = sequence
	e.total = charge.Total
	e.inFlight = charge.InFlight
	e.waiting = charge.Waiting
	r.add(e)
}

// entry returns the entry of an incarnation of an agent. The totals of one that
// had been forgotten are in the sum already.
func (r *row) entry(sender *reporter, charge Charge) *entry {
	at, ok := slices.BinarySearchFunc(r.entries, sender.id, func(e entry, id uint32) int {
		return cmp.Compare(e.reporter.id, id)
	})
	if !ok {
		created := entry{reporter: sender}
		if sender.forgotten {
			created.total = charge.Total
		}
		r.entries = slices.Insert(r.entries, at, created)
	}
	return &r.entries[at]
}

// add counts an entry's work.
func (r *row) add(e *entry) {
	if !e.busy() {
		return
	}
	if e.reporter.state == reporterLive {
		r.agents++
		r.inFlight += e.inFlight
	}
	if e.reporter.state != reporterGone {
		r.holders++
	}
}

// remove is the reverse of add.
func (r *row) remove(e *entry) {
	if !e.busy() {
		return
	}
	if e.reporter.state == reporterLive {
		r.agents--
		r.inFlight -= e.inFlight
	}
	if e.reporter.state != reporterGone {
		r.holders--
	}
}

// recount adds all entries anew, after the state of an agent has changed. It
// also clears rounding errors.
func (r *row) recount() {
	r.agents, r.holders, r.inFlight = 0, 0, 0
	for i := range r.entries {
		r.add(&r.entries[i])
	}
}

// refill notes a clock that an agent believes in, while the row is young.
func (r *row) refill(now time.Time, known Units) {
	if now.Before(r.readyAt) && known > 0 {
		r.known = max(r.known, known)
		r.refilling = true
	}
}

// endRefill puts the clock where the agents believed it to be.
func (r *row) endRefill(now time.Time) {
	if !r.refilling || now.Before(r.readyAt) {
		return
	}
	r.shift += r.known - r.clock()
	r.refilling = false
}

// reweigh changes the weight. The clock stays where it was.
func (r *row) reweigh(weight Units) {
	if weight <= 0 || weight == r.weight {
		return
	}
	clock := r.clock()
	r.weight = weight
	r.shift += clock - r.clock()
}
