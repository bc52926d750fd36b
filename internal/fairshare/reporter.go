package fairshare

import (
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// silentIntervals is the number of report intervals after which a silent
	// agent no longer counts as one that serves.
	silentIntervals = 5
	// goneAfter is how long a silent agent is still taken to hold work: it may
	// be cut off, so that its accounts are not idle.
	goneAfter = time.Minute
	// forgetAfter is how long the single charges of a silent agent are kept.
	// Afterwards only the accounts' sums hold them.
	forgetAfter = 10 * time.Minute
	// dropAfter is how long an incarnation of an agent is remembered at all.
	dropAfter = 24 * time.Hour
)

// reporterState tells how far what an agent has reported still holds.
type reporterState uint8

const (
	reporterLive   reporterState = iota
	reporterSilent               // cut off, slow, or stopped
	reporterGone                 // replaced, or silent for long
)

// source is one incarnation of an agent.
type source struct {
	agent       fleet.Address
	incarnation uint64
}

// reporter is what a home knows of one incarnation of an agent.
type reporter struct {
	id        uint32
	heard     time.Time
	state     reporterState
	forgotten bool // its entries were dropped, their totals kept
}

// hear notes that an incarnation of an agent has reported.
func (h *Home) hear(now time.Time, from source) *reporter {
	sender, ok := h.reporters[from]
	if !ok {
		h.lastID++
		sender = &reporter{id: h.lastID}
		h.reporters[from] = sender
	}
	sender.heard = now
	replaced := from.incarnation > h.newest[from.agent] && h.newest[from.agent] > 0
	h.newest[from.agent] = max(h.newest[from.agent], from.incarnation)
	if replaced || h.stateOf(now, from, sender) != sender.state {
		h.reassess(now)
	}
	return sender
}

func (h *Home) stateOf(now time.Time, from source, sender *reporter) reporterState {
	silence := now.Sub(sender.heard)
	switch {
	case h.newest[from.agent] != from.incarnation, silence >= goneAfter:
		return reporterGone
	case silence >= silentIntervals*h.config.ReportInterval:
		return reporterSilent
	default:
		return reporterLive
	}
}

// reassess brings the states of all agents up to date.
func (h *Home) reassess(now time.Time) {
	changed := false
	for from, sender := range h.reporters {
		state := h.stateOf(now, from, sender)
		changed = changed || state != sender.state
		sender.state = state
	}
	if !changed {
		return
	}
	for _, r := range h.rows {
		h.leave(r)
		r.recount()
		h.join(r)
	}
}

// sweep does once in a report interval what time and settings bring about.
func (h *Home) sweep(now time.Time) {
	h.nextSweep = now.Add(h.config.ReportInterval)
	h.reassess(now)
	for name, r := range h.rows {
		r.reweigh(Units(h.weight(name)))
		r.endRefill(now)
		if r.agents > 0 {
			r.number()
		}
	}
	h.recount()
	h.hold()
	h.recount()
}

// recount forms the sums over the rows anew.
func (h *Home) recount() {
	h.clocks, h.weights, h.waiting = 0, 0, 0
	for _, r := range h.rows {
		h.join(r)
	}
	h.advance()
}

// Forget drops the single charges of agents that have been silent for long, so
// that their number stays bounded. The accounts' sums keep them, so that no
// account falls back. An incarnation that comes back afterwards counts from
// its first report on.
func (h *Home) Forget(now time.Time) {
	for from, sender := range h.reporters {
		silence := now.Sub(sender.heard)
		if silence >= forgetAfter && !sender.forgotten {
			sender.forgotten = true
			h.forgetEntries(sender)
		}
		if silence >= dropAfter {
			delete(h.reporters, from)
			h.forgetAgent(from)
		}
	}
}

func (h *Home) forgetEntries(sender *reporter) {
	for _, r := range h.rows {
		h.leave(r)
		r.entries = slices.DeleteFunc(r.entries, func(e entry) bool { return e.reporter == sender })
		r.recount()
		h.join(r)
	}
}

func (h *Home) forgetAgent(from source) {
	if h.newest[from.agent] == from.incarnation {
		delete(h.newest, from.agent)
	}
}
