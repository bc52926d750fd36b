package fairshare

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// run is one request in progress.
type run struct {
	account  *account
	hint     Hint
	charged  Units
	estimate Units   // never below charged
	pending  Units   // counted in the account's inFlight
	seconds  float64 // since it began, as of the last measurement
}

// Begin charges what a request that begins to run is expected to take and
// returns the estimate of its whole cost. A request that runs already is left
// as it is.
func (c *Clocks) Begin(id fleet.RequestID, name fleet.Account, hint Hint) Units {
	if known, ok := c.runs[id]; ok {
		return known.estimate
	}
	a := c.ensure(name)
	r := &run{account: a, hint: hint, estimate: max(c.estimator.Estimate(name, hint), 1)}
	c.runs[id] = r
	a.running++
	c.pend(r)
	c.pace.began(r.pending)
	return r.estimate
}

// Charge counts further units of a running request, as they are produced. It
// reports false for a request that does not run.
func (c *Clocks) Charge(id fleet.RequestID, units Units) bool {
	r, ok := c.runs[id]
	if !ok || units <= 0 {
		return ok
	}
	r.charged += units
	r.estimate = c.estimator.Revise(r.estimate, r.charged)
	r.account.charged += units
	c.pace.given += units
	c.pend(r)
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
	c.end(id, r, max(0, cost))
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
	a.charged += cost - r.charged
	c.pace.given += cost - r.charged
	a.inFlight -= r.pending
	a.running--
	if a.running == 0 {
		a.inFlight = 0 // leaves no rounding error behind
	}
}

// pend counts what a request is expected to take within the horizon. A cost
// beyond the horizon is left out: it would be charged long before the service
// is given, and a wrong estimate of it would count in full.
func (c *Clocks) pend(r *run) {
	silent := c.silent(r)
	rest := max(r.estimate, silent*overrunFactor) - r.charged - silent
	pending := silent + min(rest, c.horizon())
	r.account.inFlight += pending - r.pending
	r.pending = pending
}

// silent is what a request that is charged only at its end is taken to have
// cost up to now. Without it a long call would count as little as a short one
// while it runs, and all at once when it ends.
func (c *Clocks) silent(r *run) Units {
	if r.charged > 0 || !c.pace.known() {
		return 0
	}
	return c.pace.unitsIn(time.Duration(r.seconds * float64(time.Second)))
}

// Running is the number of requests in progress.
func (c *Clocks) Running() int { return len(c.runs) }
