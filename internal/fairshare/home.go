package fairshare

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// staleIntervals is the number of report intervals after which a silent
	// agent no longer counts as one that serves or holds work.
	staleIntervals = 5
	// refillIntervals is the number of report intervals for which a home
	// collects reports of an account that it has just become home to.
	refillIntervals = 2
	// forgetAfter is how long the single charges of a silent agent are kept.
	// Afterwards only their sum is.
	forgetAfter = 10 * time.Minute
)

// source is one incarnation of an agent that reports.
type source struct {
	agent       fleet.Address
	incarnation uint64
}

// entry is what one source has reported of one account.
type entry struct {
	sequence uint64
	charge   Charge
	counted  Units // part of charge.Total that is in the row's base already
}

// reporter is what is known of a source.
type reporter struct {
	heard  time.Time
	folded bool // its entries were added to the rows' bases
}

// row is the state of one account at its home.
type row struct {
	entries  map[source]*entry
	base     Units // totals of sources that were forgotten
	offset   Units // lifts less forgiven debts, in units
	known    Units // largest total that a source believed in while refilling
	readyAt  time.Time
	refilled bool
}

// Home adds up the reports of all agents for the accounts it is home to.
type Home struct {
	config    Config
	weight    func(fleet.Account) float64
	rows      map[fleet.Account]*row
	reporters map[source]*reporter
	newest    map[fleet.Address]uint64
	virtual   Units
}

// NewHome returns a home without reports. weight gives an account's share.
func NewHome(config Config, weight func(fleet.Account) float64) *Home {
	return &Home{
		config:    config,
		weight:    weight,
		rows:      make(map[fleet.Account]*row),
		reporters: make(map[source]*reporter),
		newest:    make(map[fleet.Address]uint64),
	}
}

// ApplyConfig takes a changed policy into use.
func (h *Home) ApplyConfig(config Config) { h.config = config }

// Take adds a report and answers it. Reports may come in any order, doubled or
// not at all: the newest state of each source counts.
func (h *Home) Take(now time.Time, report Report) Reply {
	from := source{report.Agent, report.Incarnation}
	h.newest[from.agent] = max(h.newest[from.agent], from.incarnation)
	sender, ok := h.reporters[from]
	if !ok {
		sender = &reporter{}
		h.reporters[from] = sender
	}
	sender.heard = now
	h.virtual = max(h.virtual, report.VirtualTime)
	for _, charge := range report.Charges {
		h.merge(now, from, sender, report.Sequence, charge)
	}
	h.advance(now)
	return h.reply(now, report)
}

func (h *Home) merge(now time.Time, from source, sender *reporter, sequence uint64, charge Charge) {
	r, ok := h.rows[charge.Account]
	if !ok {
		r = &row{entries: make(map[source]*entry)}
		r.readyAt = now.Add(refillIntervals * h.config.ReportInterval)
		h.rows[charge.Account] = r
	}
	if !r.refilled && charge.Known > 0 && now.Before(r.readyAt) {
		r.known = max(r.known, charge.Known)
	}
	before := h.total(now, r)
	was := h.rowActive(now, r)
	e, ok := r.entries[from]
	if !ok {
		e = &entry{}
		if sender.folded {
			e.counted = charge.Total
		}
		r.entries[from] = e
	}
	if ok && sequence <= e.sequence {
		return
	}
	e.sequence = sequence
	charge.Known = 0
	e.charge = charge
	if !was && (charge.Waiting || charge.InFlight > 0) {
		r.offset += max(0, h.virtual*Units(h.weight(charge.Account))-before)
	}
}

// live tells whether a source counts as an agent that serves now.
func (h *Home) live(now time.Time, from source) bool {
	if h.newest[from.agent] != from.incarnation {
		return false
	}
	return now.Sub(h.reporters[from].heard) < staleIntervals*h.config.ReportInterval
}

func (h *Home) rowActive(now time.Time, r *row) bool { return h.agents(now, r) > 0 }

// agents counts the live agents that serve the account or hold its offers.
func (h *Home) agents(now time.Time, r *row) int {
	count := 0
	for from, e := range r.entries {
		if (e.charge.Waiting || e.charge.InFlight > 0) && h.live(now, from) {
			count++
		}
	}
	return count
}

// raw is the service that the sources have reported.
func (h *Home) raw(now time.Time, r *row) Units {
	sum := r.base
	for from, e := range r.entries {
		sum += e.charge.Total - e.counted
		if h.live(now, from) {
			sum += e.charge.InFlight
		}
	}
	return sum
}

func (h *Home) total(now time.Time, r *row) Units { return h.raw(now, r) + r.offset }

// advance moves the virtual time and holds the clocks within the window.
func (h *Home) advance(now time.Time) {
	var clocks, weights Units
	for name, r := range h.rows {
		if !r.refilled && r.known > 0 {
			if now.Before(r.readyAt) {
				continue
			}
			r.offset = r.known - h.raw(now, r)
			r.refilled = true
		}
		if !h.rowActive(now, r) {
			continue
		}
		clocks += h.total(now, r)
		weights += Units(h.weight(name))
	}
	if weights == 0 {
		return
	}
	h.virtual = max(h.virtual, clocks/weights)
	if h.config.Window > 0 {
		h.hold(now)
	}
}

// hold moves the active accounts' clocks into the window around the virtual
// time: what an account has got too much or too little beyond it is forgiven.
func (h *Home) hold(now time.Time) {
	for name, r := range h.rows {
		if !h.rowActive(now, r) {
			continue
		}
		weight := Units(h.weight(name))
		total := h.total(now, r)
		held := min(max(total, (h.virtual-h.config.Window)*weight), (h.virtual+h.config.Window)*weight)
		r.offset += held - total
	}
}

func (h *Home) reply(now time.Time, report Report) Reply {
	reply := Reply{VirtualTime: h.virtual}
	for _, charge := range report.Charges {
		r := h.rows[charge.Account]
		if !r.refilled && r.known > 0 {
			continue
		}
		reply.Totals = append(reply.Totals, Total{
			Account: charge.Account,
			Total:   max(0, h.total(now, r)),
			Agents:  h.agents(now, r),
		})
	}
	return reply
}

// Forget folds the charges of sources that have been silent for long into the
// accounts' bases, so that their number stays bounded and no total falls. A
// source that comes back afterwards counts from its first report on.
func (h *Home) Forget(now time.Time) {
	for from, sender := range h.reporters {
		if sender.folded || now.Sub(sender.heard) < forgetAfter {
			continue
		}
		sender.folded = true
		for _, r := range h.rows {
			if e, ok := r.entries[from]; ok {
				r.base += e.charge.Total - e.counted
				delete(r.entries, from)
			}
		}
	}
}
