package fairshare

import (
	"cmp"
	"slices"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// maxUnanswered is the number of reports that are remembered while their
// replies are outstanding. A reply to an older one is of no use any more.
const maxUnanswered = 16

// usualAccounts is the number of answers over which the usual n(a) is averaged.
const usualAccounts = 16

// reportState is what the account's home is known to have.
type reportState struct {
	home         HomeID
	acknowledged bool
	sequence     uint64 // of the report that was answered last
	charge       Charge
}

// sentCharge is one account in a report whose reply is outstanding.
type sentCharge struct {
	account *account
	charge  Charge
	own     Units
	lead    Units
}

// sentReport is a report whose reply is outstanding.
type sentReport struct {
	sequence uint64
	home     fleet.Address
	charges  []sentCharge
}

// reports is the state of an agent's reports to all homes.
type reports struct {
	sequence uint64
	sent     []sentReport
	homes    map[fleet.Address]uint64 // incarnations of the homes
	virtual  map[fleet.Address]Units  // virtual time by home
}

func newReports() reports {
	return reports{
		homes:   make(map[fleet.Address]uint64),
		virtual: make(map[fleet.Address]Units),
	}
}

// Charges returns the next report for a home: the accounts for which belongs
// is true and of which the home does not have the newest state. A home that
// knows nothing yet is sent all of them. The caller fills in who it is.
func (c *Clocks) Charges(home fleet.Address, belongs func(fleet.Account) bool) Report {
	c.reports.sequence++
	sent := sentReport{sequence: c.reports.sequence, home: home}
	report := Report{Sequence: sent.sequence, VirtualTime: c.virtual}
	mean := c.meanChoice()
	for _, a := range c.accounts {
		if !belongs(a.name) || !c.changed(a, home) {
			continue
		}
		charge := c.charge(a, home)
		report.Charges = append(report.Charges, charge)
		sent.charges = append(sent.charges, sentCharge{account: a, charge: charge, own: a.own(), lead: c.lead(a, mean)})
	}
	slices.SortFunc(report.Charges, func(a, b Charge) int { return cmp.Compare(a.Account, b.Account) })
	c.reports.remember(sent)
	return report
}

func (r *reports) remember(sent sentReport) {
	r.sent = append(r.sent, sent)
	if len(r.sent) > maxUnanswered {
		r.sent = slices.Delete(r.sent, 0, 1)
	}
}

// changed tells whether the home lacks something of the account. An account
// with work here is always reported, because its total moves elsewhere too.
func (c *Clocks) changed(a *account, home fleet.Address) bool {
	if c.recent(a) || a.running > 0 {
		return true
	}
	if a.charged == 0 && !a.reported.acknowledged {
		return false
	}
	return !c.settledAt(a, home) || a.reported.charge != c.charge(a, home)
}

// settledAt tells whether the home has answered for the account.
func (c *Clocks) settledAt(a *account, home fleet.Address) bool {
	return a.reported.acknowledged && a.reported.home == HomeID{home, c.reports.homes[home]}
}

func (c *Clocks) charge(a *account, home fleet.Address) Charge {
	charge := Charge{Account: a.name, Total: a.charged, InFlight: a.inFlight, Waiting: c.recent(a)}
	if a.known && !c.settledAt(a, home) {
		charge.Known = c.clock(a)
	}
	return charge
}

// Learn takes in the reply to a report. Replies may come late, in any order or
// not at all. The first reply of another incarnation of a home only tells that
// the home has to be sent everything again.
func (c *Clocks) Learn(home HomeID, sequence uint64, reply Reply) {
	index := slices.IndexFunc(c.reports.sent, func(sent sentReport) bool {
		return sent.sequence == sequence && sent.home == home.Address
	})
	if index < 0 {
		return
	}
	sent := c.reports.sent[index]
	c.reports.sent = slices.DeleteFunc(c.reports.sent, func(other sentReport) bool {
		return other.home == home.Address && other.sequence <= sequence
	})
	known, met := c.reports.homes[home.Address]
	c.reports.homes[home.Address] = home.Incarnation
	if met && known != home.Incarnation {
		return
	}
	c.learnVirtual(home.Address, reply)
	totals := make(map[fleet.Account]Total, len(reply.Totals))
	for _, total := range reply.Totals {
		totals[total.Account] = total
	}
	for _, entry := range sent.charges {
		if total, ok := totals[entry.account.name]; ok {
			c.learn(home, sequence, entry, total)
		}
	}
}

func (c *Clocks) learn(home HomeID, sequence uint64, entry sentCharge, total Total) {
	a := entry.account
	entry.charge.Known = 0
	a.reported = reportState{home: home, acknowledged: true, sequence: sequence, charge: entry.charge}
	a.heard = total.Clock
	a.ownAt = entry.own
	a.carried = carriedPart * entry.lead
	a.agents = float64(max(1, total.Agents))
	a.place(total.Place)
	a.known = true
	c.usual += (a.agents - c.usual) / usualAccounts
}

// learnVirtual keeps the mean of the homes' virtual times.
func (c *Clocks) learnVirtual(home fleet.Address, reply Reply) {
	delete(c.reports.virtual, home)
	if reply.VirtualTime > 0 {
		c.reports.virtual[home] = reply.VirtualTime
	}
	if len(c.reports.virtual) == 0 {
		return
	}
	var sum Units
	for _, virtual := range c.reports.virtual {
		sum += virtual
	}
	c.virtual = sum / Units(len(c.reports.virtual))
}

// ForgetHome drops what was heard from a home that has left.
func (c *Clocks) ForgetHome(home fleet.Address) {
	delete(c.reports.homes, home)
	delete(c.reports.virtual, home)
}
