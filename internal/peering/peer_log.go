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
	// peerLogInterval is the minimum interval between log entries on routers that became
	// reachable or unreachable. While a fleet starts, each router discovers all others
	// within seconds: one entry for each would make the number of entries grow with the
	// square of the fleet.
	peerLogInterval = time.Second
	// maxPeersPerEntry is the number of routers that a log entry names.
	maxPeersPerEntry = 10
)

// peerLog collects routers that became reachable or unreachable until they are logged.
type peerLog struct {
	logger logrus.FieldLogger

	mu              sync.Mutex
	reachable, lost []fleet.Address
	nextAt          boottime.Instant
}

func (r *peerLog) addReachable(router fleet.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachable = append(r.reachable, router)
}

func (r *peerLog) addLost(router fleet.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = append(r.lost, router)
}

// log writes the collected routers if peerLogInterval has passed since the last entry.
func (r *peerLog) log(now boottime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now < r.nextAt || len(r.reachable)+len(r.lost) == 0 {
		return
	}
	r.nextAt = now.Add(peerLogInterval)
	r.logRouters(event.GatePeersReachable, r.reachable)
	r.logRouters(event.GatePeersUnreachable, r.lost)
	r.reachable, r.lost = nil, nil
}

func (r *peerLog) logRouters(what event.Event, routers []fleet.Address) {
	if len(routers) == 0 {
		return
	}
	slices.Sort(routers)
	named := routers[:min(len(routers), maxPeersPerEntry)]
	what.Log(r.logger, logrus.Fields{"peers": named, "count": len(routers)})
}
