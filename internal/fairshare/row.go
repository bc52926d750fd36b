package fairshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
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
	place    uint32 // number among the agents that have work of the account
}

// busy tells whether the agent had work of the account.
func (e *entry) busy() bool { return e.waiting || e.inFlight > 0 }

// row is the state of one account at its home.
type row struct {
	weight   Units
	entries  []entry // ordered by the reporter's id
	given    Units   // sum over all agents that ever reported
	inFlight Units   // sum over the live agents
	agents   int     // live agents that serve the account or hold its offers
	offers   int     // live agents that hold its offers
	holders  int     // the same, with those silent for a short time
	shift    Units   // of the clock: lifts less forgiven debts

	// A row is refilled when agents still know a clock that an earlier home
	// had answered: its own sum lacks what agents had given that are gone.
	refilling bool
	known     map[*reporter]Units // what each agent believes
	readyAt   time.Time
}

// clock is the account's service per weight.
func (r *row) clock() Units { return (r.given+r.inFlight)/r.weight + r.shift }

// counts tells whether the row takes part in the virtual time.
func (r *row) counts() bool { return r.offers > 0 && !r.refilling }

// take replaces what an incarnation of an agent has reported, unless it is
// older than what is held.
func (r *row) take(sender *reporter, sequence uint64, charge Charge) {
	e := r.ensure(sender, charge)
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

// find returns where the entry of an incarnation of an agent is, or belongs.
func (r *row) find(sender *reporter) (int, bool) {
	return slices.BinarySearchFunc(r.entries, sender.id, func(e entry, id uint32) int {
		return cmp.Compare(e.reporter.id, id)
	})
}

// ensure returns the entry of an incarnation of an agent. The totals of one
// that had been forgotten are in the sum already.
func (r *row) ensure(sender *reporter, charge Charge) *entry {
	at, ok := r.find(sender)
	if !ok {
		created := entry{reporter: sender, place: uint32(r.agents)}
		if sender.forgotten {
			created.total = charge.Total
		}
		r.entries = slices.Insert(r.entries, at, created)
	}
	return &r.entries[at]
}

// total answers an agent for one account.
func (r *row) total(name fleet.Account, sender *reporter) Total {
	at, _ := r.find(sender)
	return Total{Account: name, Clock: r.clock(), Agents: r.agents, Place: int(r.entries[at].place)}
}

// add counts an entry's work.
func (r *row) add(e *entry) { r.count(e, 1) }

// remove is the reverse of add.
func (r *row) remove(e *entry) { r.count(e, -1) }

func (r *row) count(e *entry, sign int) {
	if e.reporter.state == reporterGone {
		return
	}
	if e.waiting {
		r.holders += sign
	}
	if e.reporter.state == reporterSilent {
		return
	}
	r.inFlight += Units(sign) * e.inFlight
	if e.waiting {
		r.offers += sign
	}
	if e.busy() {
		r.agents += sign
	}
}

// recount adds all entries anew, after the state of an agent has changed. It
// also clears rounding errors.
func (r *row) recount() {
	r.agents, r.offers, r.holders, r.inFlight = 0, 0, 0, 0
	for i := range r.entries {
		r.add(&r.entries[i])
	}
}

// refill notes a clock that an agent believes in, while the row is young.
func (r *row) refill(now time.Time, sender *reporter, known Units) {
	if known <= 0 || !now.Before(r.readyAt) {
		return
	}
	if r.known == nil {
		r.known = make(map[*reporter]Units)
	}
	r.known[sender] = known
	r.refilling = true
}

// endRefill puts the clock where the agents believe it to be. Each of them
// guesses what the others gave since the old home's last answer; the guesses
// err both ways, so that their mean is much nearer than any of them.
func (r *row) endRefill(now time.Time) {
	if !r.refilling || now.Before(r.readyAt) {
		return
	}
	var sum Units
	for _, known := range r.known {
		sum += known
	}
	r.shift += sum/Units(len(r.known)) - r.clock()
	r.refilling = false
	r.known = nil
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
