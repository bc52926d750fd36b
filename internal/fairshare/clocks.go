package fairshare

import (
	"cmp"
	"slices"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// idleReports is the number of reports after which an account without work at
// this agent counts as idle: what was heard of it before is then out of date.
const idleReports = 2

// account is the state of one client account at one agent.
type account struct {
	name     fleet.Account
	weight   float64
	charged  Units // cumulative service given
	inFlight Units // expected beyond charged from the running requests
	begun    Units // cumulative estimates at the beginning of requests
	running  int
	waiting  bool

	total    Units // of the fleet when it was last heard
	agents   float64
	ownAt    Units // own() in the report that total answers
	begunAt  Units // begun in that report
	known    bool  // total comes from a home
	quietAt  uint64
	reported reportState
}

// own is the service that this agent has given and expects to give.
func (a *account) own() Units { return a.charged + a.inFlight }

// active tells whether the account has work here.
func (a *account) active() bool { return a.waiting || a.running > 0 }

// run is one request in progress.
type run struct {
	account  *account
	hint     Hint
	charged  Units
	estimate Units // never below charged
}

// Clocks holds the accounts of one service at one agent. With the policy
// router-local a router holds one instead, for the service it gives out.
type Clocks struct {
	config    Config
	estimator *Estimator
	accounts  map[fleet.Account]*account
	runs      map[fleet.RequestID]*run
	reports   reports
	virtual   Units // the fleet's virtual time as last heard
	floor     Units // local virtual time: it never falls
	usual     float64
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

// ApplyConfig takes a changed policy into use.
func (c *Clocks) ApplyConfig(config Config) { c.config = config }

// SetWeight sets the share of an account relative to others. The service that
// it had before is scaled, so that its clock stays where it was.
func (c *Clocks) SetWeight(name fleet.Account, weight float64) {
	a := c.ensure(name)
	if weight <= 0 || weight == a.weight {
		return
	}
	clock := c.clock(a)
	a.weight = weight
	a.total += (clock - c.clock(a)) * Units(weight)
}

// Begin charges the estimate of a request that begins to run and returns it.
// A request that runs already is left as it is.
func (c *Clocks) Begin(id fleet.RequestID, name fleet.Account, hint Hint) Units {
	if known, ok := c.runs[id]; ok {
		return known.estimate
	}
	a := c.ensure(name)
	c.wake(a)
	estimate := max(c.estimator.Estimate(name, hint), 1)
	c.runs[id] = &run{account: a, hint: hint, estimate: estimate}
	a.running++
	a.inFlight += estimate
	a.begun += estimate
	return estimate
}

// Charge counts further units of a running request, as they are produced. It
// reports false for a request that does not run.
func (c *Clocks) Charge(id fleet.RequestID, units Units) bool {
	r, ok := c.runs[id]
	if !ok || units <= 0 {
		return ok
	}
	before := r.estimate - r.charged
	r.charged += units
	r.estimate = c.estimator.Revise(r.estimate, r.charged)
	r.account.charged += units
	r.account.inFlight += r.estimate - r.charged - before
	return true
}

// Settle ends a request with its true cost. It reports false for a request
// that does not run.
func (c *Clocks) Settle(id fleet.RequestID, cost Units) bool {
	r, ok := c.runs[id]
	if !ok {
		return false
	}
	c.estimator.Observe(r.account.name, r.hint, cost)
	c.end(id, r, cost)
	return true
}

// Abandon ends a request that was cancelled or has failed: it costs what has
// been charged, and its cost says nothing about later requests.
func (c *Clocks) Abandon(id fleet.RequestID) bool {
	r, ok := c.runs[id]
	if !ok {
		return false
	}
	c.end(id, r, r.charged)
	return true
}

func (c *Clocks) end(id fleet.RequestID, r *run, cost Units) {
	a := r.account
	delete(c.runs, id)
	a.charged = max(0, a.charged+cost-r.charged)
	a.inFlight -= r.estimate - r.charged
	a.running--
	if a.running == 0 {
		a.inFlight = 0 // leaves no rounding error behind
	}
	c.rest(a)
}

// Offered notes whether the agent holds offers of an account.
func (c *Clocks) Offered(name fleet.Account, waiting bool) {
	a := c.ensure(name)
	if waiting {
		c.wake(a)
	}
	a.waiting = waiting
	c.rest(a)
}

// Running is the number of requests in progress.
func (c *Clocks) Running() int { return len(c.runs) }

// Clock returns the account's clock: its service per weight.
func (c *Clocks) Clock(name fleet.Account) Units { return c.clock(c.ensure(name)) }

// Pick returns the candidate with the smallest clock; of equal ones the first.
// It reports false when there is no candidate.
func (c *Clocks) Pick(candidates []fleet.Account) (fleet.Account, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	best := slices.MinFunc(candidates, func(a, b fleet.Account) int {
		return cmp.Compare(c.Clock(a), c.Clock(b))
	})
	c.floor = max(c.floor, c.Clock(best))
	return best, true
}

// ensure returns the account, which begins at the virtual time.
func (c *Clocks) ensure(name fleet.Account) *account {
	a, ok := c.accounts[name]
	if !ok {
		a = &account{name: name, weight: 1, agents: c.usual}
		a.total = c.now()
		c.accounts[name] = a
	}
	return a
}

// clock is the formula in the package's comment. Only the estimates of requests
// that began here are multiplied: the others begin requests as this agent does,
// but how far a cost differs from its estimate is known of own requests only.
func (c *Clocks) clock(a *account) Units {
	if c.config.Share != settings.ShareFleet {
		return (a.total + a.own()) / Units(a.weight)
	}
	begun := a.begun - a.begunAt
	corrected := a.own() - a.ownAt - begun
	return (a.total + Units(a.agents)*begun + corrected) / Units(a.weight)
}

// now is the virtual time as far as this agent can tell.
func (c *Clocks) now() Units { return max(c.floor, c.virtual) }

// wake lifts an account that returns from idleness to the virtual time, so
// that nothing is banked while an account is idle.
func (c *Clocks) wake(a *account) {
	if a.active() {
		return
	}
	idle := c.reports.sequence-a.quietAt >= idleReports
	if c.config.Share == settings.ShareFleet && a.known && !idle {
		return // its home tells whether it has work elsewhere
	}
	a.total += max(0, c.now()-c.clock(a)) * Units(a.weight)
}

// rest notes when an account's work here came to its end.
func (c *Clocks) rest(a *account) {
	if !a.active() {
		a.quietAt = c.reports.sequence
	}
}
