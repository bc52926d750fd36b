package peering

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// peerRecordInterval is the pause between two records of routers that are heard, or
	// heard no longer. In a fleet that starts, each router hears all others within some
	// seconds: a record for each would be as many as the square of the fleet.
	peerRecordInterval = time.Second
	// peersPerRecord is how many routers a record names.
	peersPerRecord = 10
)

// peerRecords gathers which routers are newly heard or lost until they are logged.
type peerRecords struct {
	logger logrus.FieldLogger

	mu          sync.Mutex
	heard, lost []fleet.Address
	next        boottime.Instant
}

func (r *peerRecords) noteHeard(router fleet.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = append(r.heard, router)
}

func (r *peerRecords) noteLost(router fleet.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = append(r.lost, router)
}

// log logs what has been noted, if the last records are old enough.
func (r *peerRecords) log(now boottime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now < r.next || len(r.heard)+len(r.lost) == 0 {
		return
	}
	r.next = now.Add(peerRecordInterval)
	r.record(event.GatePeersReachable, r.heard)
	r.record(event.GatePeersUnreachable, r.lost)
	r.heard, r.lost = nil, nil
}

func (r *peerRecords) record(what event.Event, routers []fleet.Address) {
	if len(routers) == 0 {
		return
	}
	slices.Sort(routers)
	named := routers[:min(len(routers), peersPerRecord)]
	what.Log(r.logger, logrus.Fields{"peers": named, "count": len(routers)})
}
