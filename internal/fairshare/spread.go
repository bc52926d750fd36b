package fairshare

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// carriedPart is how much of an agent's lead or lag is carried over to the next
// report interval.
const carriedPart = 0.5

// choice is the clock by which an account is chosen. Between two reports all
// agents see the same account behind the others. If each of them began a
// request of that account next, it would get n(a) requests where it lacks one,
// and then none for a while: the gap would swing with the report interval. So
// each agent adds an offset of its own, up to the charge of one request. The
// lower an account's clock, the more agents begin one of its requests, and the
// number is in proportion to the lack, whatever n(a) is.
func (c *Clocks) choice(a *account) Units {
	clock := c.clock(a)
	if c.config.Share != settings.ShareFleet {
		return clock
	}
	offset := a.offset * c.pace.begins / Units(a.weight)
	return clock + Units(a.agents)*(offset+a.carried)
}

// place takes the agent's number among those of the account into its offset,
// a number from 0 to 1. The offsets of n(a) agents are equal steps: drawn at
// random they would bunch, and the number of requests begun would scatter by
// its root. The order of the agents differs from account to account.
func (a *account) place(number int) {
	count := uint64(max(1, a.agents))
	hash := xxhash.Sum64String(string(a.name))
	step := 1 + hash%count
	for commonDivisor(step, count) != 1 {
		step++
	}
	at := (uint64(number)*step + hash>>32) % count
	a.offset = (Units(at) + 0.5) / Units(count)
}

// firstOffset is used before a home has answered for the account.
func (c *Clocks) firstOffset(name fleet.Account) Units {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], c.seed)
	binary.LittleEndian.PutUint64(key[8:], xxhash.Sum64String(string(name)))
	return Units(xxhash.Sum64(key[:])>>11) / (1 << 53)
}

func commonDivisor(a, b uint64) uint64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// lead is how far an account is ahead of the agent's other waiting accounts,
// as the agent's own part of it. It comes from requests that can't be divided:
// without carrying it over, the agent would begin each report interval with
// the same accounts, and the fleet's clocks would have to make up for it.
func (c *Clocks) lead(a *account, mean Units) Units {
	most := c.pace.begins / Units(a.weight)
	return min(max((c.choice(a)-mean)/Units(a.agents), -most), most)
}

// meanChoice is the mean over the accounts that wait here.
func (c *Clocks) meanChoice() Units {
	var sum, count Units
	for _, a := range c.accounts {
		if a.waiting {
			sum += c.choice(a)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}

// number numbers the agents that serve the account or hold its offers. It runs
// once in a report interval: counting at each reply would take as many steps as
// there are agents.
func (r *row) number() {
	next := uint32(0)
	for i := range r.entries {
		e := &r.entries[i]
		if e.busy() && e.reporter.state == reporterLive {
			e.place = next
			next++
		}
	}
}
