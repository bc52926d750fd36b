package fairshare

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// choice is the clock by which an account is chosen. Between two reports all
// agents see the same account behind the others. Without the dither each of
// them would begin a request of that account next, so that it would get n(a)
// requests where it lacks one, and then none for a while. A dither of up to
// one request makes the number that begin one proportional to the lack.
func (c *Clocks) choice(a *account) Units {
	clock := c.clock(a)
	if c.config.Share != settings.ShareFleet {
		return clock
	}
	return clock + Units(a.agents)*c.dither(a)*c.pace.begins/Units(a.weight)
}

// dither is a number from 0 to 1 that differs between agents,
// accounts and what was last heard.
func (c *Clocks) dither(a *account) Units {
	var key [24]byte
	binary.LittleEndian.PutUint64(key[:], c.seed)
	binary.LittleEndian.PutUint64(key[8:], a.reported.sequence)
	binary.LittleEndian.PutUint64(key[16:], xxhash.Sum64String(string(a.name)))
	return Units(xxhash.Sum64(key[:])>>11) / (1 << 53)
}
