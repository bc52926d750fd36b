package fairshare

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// ditherRequests is the largest dither in usual charges of a request.
const ditherRequests = 0.5

// choice is the clock by which an account is chosen. Between two reports all
// agents see the same account behind the others. Without the dither each of
// them would begin a request of that account next, so that it would get n(a)
// requests where it lacks one, and then none for a while.
func (c *Clocks) choice(a *account) Units {
	clock := c.clock(a)
	if c.config.Share != settings.ShareFleet {
		return clock
	}
	return clock + Units(a.agents)*c.dither(a)*c.pace.begins/Units(a.weight)
}

// dither is a number from 0 to ditherRequests that differs between agents,
// accounts and what was last heard.
func (c *Clocks) dither(a *account) Units {
	var key [24]byte
	binary.LittleEndian.PutUint64(key[:], c.seed)
	binary.LittleEndian.PutUint64(key[8:], a.reported.sequence)
	binary.LittleEndian.PutUint64(key[16:], xxhash.Sum64String(string(a.name)))
	fraction := float64(xxhash.Sum64(key[:])>>11) / (1 << 53)
	return Units(ditherRequests * fraction)
}
