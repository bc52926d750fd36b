package fairshare

import (
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// recentIntervals is the number of report intervals for which an account whose
// offers have gone still counts as waiting. The offers of an account with a
// short queue come and go with each grant, which is no idleness.
const recentIntervals = 1

// account is the state of one client account at one agent.
type account struct {
	name     fleet.Account
	weight   float64
	charged  Units // cumulative service given
	inFlight Units // expected within the horizon from the running requests
	running  int
	waiting  bool

	heard    Units   // clock that the home answered
	ownAt    Units   // own() in the report that heard answers
	agents   float64 // n(a)
	offset   Units   // of this agent among them, from 0 to 1
	carried  Units   // part of the lead in the last report, per weight
	known    bool    // heard comes from a home
	quietAt  int64   // interval in which the last offers went
	reported reportState
}

// own is the service that this agent has given and soon will give.
func (a *account) own() Units { return a.charged + a.inFlight }

// Clocks holds the accounts of one service at one agent. With the policy
// router-local a router holds one instead, for the service it gives out.
type Clocks struct {
	config    Config
	seed      uint64
	estimator *Estimator
	accounts  map[fleet.Account]*account
	runs      map[fleet.RequestID]*run
	pace      pace
	interval  int64 // counts the calls of Advance
	reports   reports
	virtual   Units   // the fleet's virtual time as last heard
	floor     Units   // virtual time by own choices: it never falls
	usual     float64 // usual n(a), for accounts of which nothing was heard
}

// NewClocks returns clocks without accounts.
func NewClocks(config Config) *Clocks {
	return &Clocks{
		config:    config,
		estimator: NewEstimator(),
		accounts:  make(map[fleet.Account]*account),
		runs:      make(map[fleet.RequestID]*run),
		reports:   newReports(),
		usual:     1,
	}
}

// SetSeed sets the number from which an agent's first offsets are derived. It
// must differ from agent to agent; otherwise all that start at the same time
// make the same choices.
func (c *Clocks) SetSeed(seed uint64) { c.seed = seed }

// ApplyConfig takes a changed policy into use.
func (c *Clocks) ApplyConfig(config Config) { c.config = config }

// SetWeight sets the share of an account relative to others. Its clock stays
// where it was.
func (c *Clocks) SetWeight(name fleet.Account, weight float64) {
	a := c.ensure(name)
	if weight <= 0 || weight == a.weight {
		return
	}
	a.heard = c.clock(a)
	a.ownAt = a.own()
	a.weight = weight
}

// Offered notes whether the agent holds offers of an account. An account that
// returns from idleness is lifted to the virtual time, so that nothing is
// banked while it is idle; running requests are no reason to bank either.
func (c *Clocks) Offered(name fleet.Account, waiting bool) {
	a := c.ensure(name)
	if waiting && !c.recent(a) {
		a.heard += max(0, c.now()-c.clock(a))
	}
	if a.waiting && !waiting {
		a.quietAt = c.interval
	}
	a.waiting = waiting
}

// recent tells whether the account waits or did so a short time ago.
func (c *Clocks) recent(a *account) bool {
	return a.waiting || c.interval-a.quietAt <= recentIntervals
}

// Clock returns the account's clock: its service per weight.
func (c *Clocks) Clock(name fleet.Account) Units { return c.clock(c.ensure(name)) }

// Pick returns the candidate with the smallest clock; of equal ones the first.
// It reports false when there is no candidate.
func (c *Clocks) Pick(candidates []fleet.Account) (fleet.Account, bool) {
	var best *account
	var smallest Units
	for _, name := range candidates {
		a := c.ensure(name)
		clock := c.choice(a)
		if best == nil || clock < smallest {
			best, smallest = a, clock
		}
	}
	if best == nil {
		return "", false
	}
	if c.config.Share != settings.ShareFleet {
		c.floor = max(c.floor, smallest)
	}
	return best.name, true
}

// ensure returns the account, which begins at the virtual time.
func (c *Clocks) ensure(name fleet.Account) *account {
	a, ok := c.accounts[name]
	if !ok {
		a = &account{
			name:    name,
			weight:  1,
			agents:  c.usual,
			offset:  c.firstOffset(name),
			heard:   c.now(),
			quietAt: c.interval - recentIntervals - 1,
		}
		c.accounts[name] = a
	}
	return a
}

// clock is the formula in the package's comment without the offsets.
func (c *Clocks) clock(a *account) Units {
	since := (a.own() - a.ownAt) / Units(a.weight)
	if c.config.Share != settings.ShareFleet {
		return a.heard + since
	}
	return a.heard + Units(a.agents)*since
}

// now is the virtual time as far as this agent can tell.
func (c *Clocks) now() Units { return max(c.floor, c.virtual) }
