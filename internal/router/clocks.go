package router

import "github.com/bluebellchute/bluebellchute/internal/fleet"

// localClocks orders one service's accounts by the service that they received
// through this router alone, scaled by weight. It decides which account sends
// first where the agents leave the choice to the router.
type localClocks struct {
	accounts map[fleet.Account]*localClock
	virtual  float64 // the clock of the account served last
}

type localClock struct {
	value   float64
	average float64 // of settled costs; 0 when none was seen
}

// averageShare is the weight of the newest cost in an account's average.
const averageShare = 0.2

// begin lifts an account that returns from idleness to the others, so that
// nothing is banked while it sends nothing.
func (c *localClocks) begin(account fleet.Account) {
	clock := c.clock(account)
	clock.value = max(clock.value, c.virtual)
}

// estimate is the cost of an account's next request. The account's history
// outweighs a hint, because hints may be wrong by a factor of ten.
func (c *localClocks) estimate(account fleet.Account, hint uint64) float64 {
	if average := c.clock(account).average; average > 0 {
		return average
	}
	return max(1, float64(hint))
}

// charge adds a cost or, where it is negative, takes an estimate back.
func (c *localClocks) charge(account fleet.Account, weight, cost float64) {
	clock := c.clock(account)
	clock.value += cost / max(weight, minWeight)
}

// settle puts the true cost in place of an estimate.
func (c *localClocks) settle(account fleet.Account, weight, estimate, cost float64) {
	c.charge(account, weight, cost-estimate)
	clock := c.clock(account)
	if clock.average == 0 {
		clock.average = cost
		return
	}
	clock.average += averageShare * (cost - clock.average)
}

// serve notes that an account has just been chosen.
func (c *localClocks) serve(account fleet.Account) {
	c.virtual = max(c.virtual, c.clock(account).value)
}

func (c *localClocks) value(account fleet.Account) float64 { return c.clock(account).value }

func (c *localClocks) clock(account fleet.Account) *localClock {
	if c.accounts == nil {
		c.accounts = make(map[fleet.Account]*localClock)
	}
	clock, ok := c.accounts[account]
	if !ok {
		clock = &localClock{value: c.virtual}
		c.accounts[account] = clock
	}
	return clock
}

// minWeight keeps a weight of zero from dividing.
const minWeight = 1e-6
