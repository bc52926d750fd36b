package peering

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// settleTime is how long a router takes no part in what cold backend servers get after
// its start: the others must have heard of it by then, and it must have forgotten
// nothing of what its VM's last process sent in the second before.
const settleTime = 2 * time.Second

// Order implements slowstart.Fleet. Routers that have fallen silent count for as long
// as their addresses are tried: behind a cut they still send.
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

// Settled implements slowstart.Fleet. A router that has heard nobody and has not seen
// the directory either may be cut off from a whole fleet.
func (m *Manager) Settled() bool {
	now := boottime.Now()
	if now.Sub(m.started) < settleTime {
		return false
	}
	return m.looked.Load() || len(m.heard(now)) > 0
}
