package gate

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

const (
	// indefinitely is the end of a closure of a backend server that leaves.
	indefinitely = boottime.Instant(math.MaxInt64)
	// unlistedTTL is how long a closure is remembered of a backend server that is no
	// longer listed: longer than entries take that lapse in an outage of the store and
	// are written again.
	unlistedTTL = time.Minute
)

// unavailability tells that a backend server wants nothing new.
type unavailability struct {
	until         boottime.Instant
	unlistedSince boottime.Instant // since when the backend server is not listed, 0 if it is
}

// unavailableServers are the backend servers that have said in their answers that they want nothing
// new, by their incarnations. The store may tell that one leaves much later: while it is
// away, answers are the only word of it, and a router that does not heed them goes on
// sending requests to a server that ends under them. Its methods may be called
// concurrently.
type unavailableServers struct {
	mu    sync.Mutex
	known map[string]unavailability
}

func newUnavailableServers() *unavailableServers {
	return &unavailableServers{known: make(map[string]unavailability)}
}

// add notes that a backend server wants nothing until the moment. It returns whether it
// was open before.
func (c *unavailableServers) add(incarnation string, until, now boottime.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.known[incarnation]
	wasAvailable := known.until <= now
	known.until = max(known.until, until)
	c.known[incarnation] = known
	return wasAvailable
}

// at returns until when backend servers are closed at the moment, by incarnation, nil if
// none is.
func (c *unavailableServers) at(now boottime.Instant) map[string]boottime.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unavailable map[string]boottime.Instant
	for incarnation, known := range c.known {
		if now >= known.until {
			delete(c.known, incarnation)
			continue
		}
		if unavailable == nil {
			unavailable = make(map[string]boottime.Instant, len(c.known))
		}
		unavailable[incarnation] = known.until
	}
	return unavailable
}

// has tells whether a backend server is closed at the moment.
func (c *unavailableServers) has(incarnation string, now boottime.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now < c.known[incarnation].until
}

// prune forgets backend servers that have not been listed for long.
func (c *unavailableServers) prune(backends map[string]*knowledge.Backend, now boottime.Instant) {
	listed := make(map[string]bool, len(backends))
	for _, backend := range backends {
		listed[backend.Incarnation] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for incarnation, known := range c.known {
		switch {
		case listed[incarnation]:
			known.unlistedSince = 0
		case known.unlistedSince == 0:
			known.unlistedSince = now
		}
		c.known[incarnation] = known
	}
	maps.DeleteFunc(c.known, func(_ string, known unavailability) bool {
		return known.unlistedSince != 0 && now.Sub(known.unlistedSince) > unlistedTTL
	})
}
