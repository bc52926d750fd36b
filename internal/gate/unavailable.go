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
	// indefinitely is the end of the unavailability of a draining backend server.
	indefinitely = boottime.Instant(math.MaxInt64)
	// unlistedTTL is how long the unavailability of an unlisted backend server is
	// remembered. Entries that expire in an outage of the store are written again within a
	// shorter time.
	unlistedTTL = time.Minute
)

// unavailability is the time for which a backend server rejects new requests.
type unavailability struct {
	until         boottime.Instant
	unlistedSince boottime.Instant // 0 while the backend server is listed
}

// unavailableServers holds the backend servers that reported in answers that they reject
// new requests, by incarnation. The store may report a draining server much later. During
// an outage of the store, answers are the only source, and a router that ignored them would
// go on sending requests to a server that stops while they run. Its methods may be called
// concurrently.
type unavailableServers struct {
	mu      sync.Mutex
	entries map[string]unavailability
}

func newUnavailableServers() *unavailableServers {
	return &unavailableServers{entries: make(map[string]unavailability)}
}

// add records that a backend server rejects requests until the given time. It reports
// whether the server was available before.
func (u *unavailableServers) add(incarnation string, until, now boottime.Instant) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	entry := u.entries[incarnation]
	wasAvailable := entry.until <= now
	entry.until = max(entry.until, until)
	u.entries[incarnation] = entry
	return wasAvailable
}

// at returns the backend servers that are unavailable at the given time, by incarnation,
// and until when they are. It returns nil if there are none.
func (u *unavailableServers) at(now boottime.Instant) map[string]boottime.Instant {
	u.mu.Lock()
	defer u.mu.Unlock()
	var unavailable map[string]boottime.Instant
	for incarnation, entry := range u.entries {
		if now >= entry.until {
			delete(u.entries, incarnation)
			continue
		}
		if unavailable == nil {
			unavailable = make(map[string]boottime.Instant, len(u.entries))
		}
		unavailable[incarnation] = entry.until
	}
	return unavailable
}

// has reports whether a backend server is unavailable at the given time.
func (u *unavailableServers) has(incarnation string, now boottime.Instant) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now < u.entries[incarnation].until
}

// prune removes backend servers that have been unlisted for longer than unlistedTTL.
func (u *unavailableServers) prune(backends map[string]*knowledge.Backend, now boottime.Instant) {
	listed := make(map[string]bool, len(backends))
	for _, backend := range backends {
		listed[backend.Incarnation] = true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for incarnation, entry := range u.entries {
		switch {
		case listed[incarnation]:
			entry.unlistedSince = 0
		case entry.unlistedSince == 0:
			entry.unlistedSince = now
		}
		u.entries[incarnation] = entry
	}
	maps.DeleteFunc(u.entries, func(_ string, entry unavailability) bool {
		return entry.unlistedSince != 0 && now.Sub(entry.unlistedSince) > unlistedTTL
	})
}
