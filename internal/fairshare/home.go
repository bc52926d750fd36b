package fairshare

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Home adds up the reports of all agents for the accounts it is home to, and
// answers with the accounts' clocks in the whole fleet.
//
// What the agents report is cumulative, so a home keeps the newest state of
// each incarnation of each agent, in whatever order, however often or seldom
// the reports come. The sum is what the fleet has given. To it a home adds a
// shift for each account: it lifts an account that returns from idleness and
// forgives what lies beyond the repayment window.
type Home struct {
	config    Config
	weight    func(fleet.Account) float64
	rows      map[fleet.Account]*row
	reporters map[source]*reporter
	newest    map[fleet.Address]uint64 // newest incarnation of each agent
	lastID    uint32
	nextSweep time.Time

	clocks   Units // sum of the waiting accounts' clocks times their weights
	weights  Units // sum of the waiting accounts' weights
	waiting  int   // accounts in these sums
	mean     Units // mean clock of the waiting accounts
	reported Units // mean over all homes, as an agent knows it
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
// not at all: the newest state of each incarnation of an agent counts.
func (h *Home) Take(now time.Time, report Report) Reply {
	if !now.Before(h.nextSweep) {
		h.sweep(now)
	}
	sender := h.hear(now, source{report.Agent, report.Incarnation})
	h.reported = report.VirtualTime
	for _, charge := range report.Charges {
		h.merge(now, sender, report.Sequence, charge)
	}
	h.advance()
	return h.reply(sender, report)
}

// merge takes one account's charge into its row.
func (h *Home) merge(now time.Time, sender *reporter, sequence uint64, charge Charge) {
	r := h.ensure(now, charge.Account)
	h.leave(r)
	r.refill(now, sender, charge.Known)
	idle := r.holders == 0
	r.take(sender, sequence, charge)
	if idle && r.holders > 0 {
		r.shift += max(0, h.virtual()-r.clock())
	}
	h.join(r)
}

func (h *Home) ensure(now time.Time, name fleet.Account) *row {
	r, ok := h.rows[name]
	if !ok {
		r = &row{weight: Units(h.weight(name)), readyAt: now.Add(refillIntervals * h.config.ReportInterval)}
		h.rows[name] = r
	}
	return r
}

// leave takes a row out of the sums behind the virtual time, before a change.
func (h *Home) leave(r *row) {
	if r.counts() {
		h.clocks -= r.clock() * r.weight
		h.weights -= r.weight
		h.waiting--
	}
}

// join adds a row to the sums behind the virtual time, after a change.
func (h *Home) join(r *row) {
	if r.counts() {
		h.clocks += r.clock() * r.weight
		h.weights += r.weight
		h.waiting++
	}
}

// advance moves the mean clock of the waiting accounts by their weights.
func (h *Home) advance() {
	if h.weights > 0 {
		h.mean = h.clocks / h.weights
	}
}

// virtual is the service's virtual time. A home whose accounts all lag takes
// the agents' word, because they hear the other homes too. It must not answer
// with it: agents and homes would hold each other to a time that has turned
// out too high, and every account would be lifted to it again and again.
func (h *Home) virtual() Units { return max(h.mean, h.reported) }

func (h *Home) reply(sender *reporter, report Report) Reply {
	reply := Reply{Totals: make([]Total, 0, len(report.Charges))}
	if h.waiting > 0 {
		reply.VirtualTime = h.mean
	}
	for _, charge := range report.Charges {
		r := h.rows[charge.Account]
		if r.refilling {
			continue
		}
		reply.Totals = append(reply.Totals, r.total(charge.Account, sender))
	}
	return reply
}
