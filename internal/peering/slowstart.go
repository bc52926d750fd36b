package peering

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// settlePeriod is the time after its start in which a router sends nothing to cold
// backend servers. By its end, the other routers know of it, and the requests that its
// VM's previous process sent last, which this process cannot count, are more than a
// second old.
const settlePeriod = 2 * time.Second

// Order implements slowstart.Fleet. Unreachable routers count until their addresses
// expire, as they still send requests if only the network is partitioned.
func (t *table) Order(key uint64) (before, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := selection.Weight(key, t.hash)
	for _, peer := range t.peers {
		if selection.Weight(key, peer.hash) > own {
			before++
		}
	}
	return before, len(t.peers) + 1
}

// Settled implements slowstart.Fleet. A router that has neither received a heartbeat nor
// read the directory may be isolated from a whole fleet.
func (m *Manager) Settled() bool {
	now := boottime.Now()
	if now.Sub(m.started) < settlePeriod {
		return false
	}
	return m.directoryRead.Load() || len(m.reachableRouters(now)) > 0
}
