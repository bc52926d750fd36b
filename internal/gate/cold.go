package gate

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/slowstart"
)

// ColdSettings bound the requests of all routers to a cold backend server; see
// slowstart.Bound.
type ColdSettings struct {
	Overshoot float64 // 0 for no bound
	Slack     float64
}

// coldListTTL is how long the list of a service's cold backend servers is reused. Building
// it for each request would cost more than the decision itself in a large fleet.
const coldListTTL = 50 * time.Millisecond

// coldServers determines which backend servers are cold, and limits what this router sends
// to each of them. Its methods may be called concurrently.
type coldServers struct {
	settings *currentSettings
	limiter  *slowstart.Limiter

	mu       sync.Mutex
	marked   map[string]boottime.Instant // until when a server may be cold, by incarnation, as seen in answers and failed connections
	services map[fleet.Service]coldList
}

// coldList holds the cold servers among those that were serving at a given time.
type coldList struct {
	serving []*knowledge.Backend
	at      boottime.Instant
	cold    map[string]slowstart.Bound // by incarnation
}

// fresh reports whether the list is valid for these backend servers. A changed list is
// invalid immediately: otherwise a server that has just appeared would count as warm.
func (l coldList) fresh(serving []*knowledge.Backend, now boottime.Instant) bool {
	same := len(l.serving) == len(serving) && (len(serving) == 0 || &l.serving[0] == &serving[0])
	return same && now.Sub(l.at) < coldListTTL
}

func newColdServers(settings *currentSettings, peers Peers) *coldServers {
	return &coldServers{
		settings: settings,
		limiter:  slowstart.NewLimiter(peers),
		marked:   make(map[string]boottime.Instant),
		services: make(map[fleet.Service]coldList),
	}
}

// bounds returns the bounds of the service's cold backend servers by incarnation, nil if
// none is cold. The map must not be changed.
func (c *coldServers) bounds(view *knowledge.View, service fleet.Service, now boottime.Instant) map[string]slowstart.Bound {
	settings := view.Index.Service(service)
	bound := c.serviceBound(settings)
	if bound.Usable() == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list, serving := c.services[service], view.Serving[service]
	if list.fresh(serving, now) {
		return list.cold
	}
	list = coldList{serving: serving, at: now}
	for _, backend := range serving {
		if now < c.coldUntil(view, settings, backend) {
			if list.cold == nil {
				list.cold = make(map[string]slowstart.Bound)
			}
			list.cold[backend.Incarnation] = bound
		}
	}
	c.services[service] = list
	return list.cold
}

// serviceBound returns the bound of a service's cold backend servers.
func (c *coldServers) serviceBound(settings *knowledge.ServiceSettings) slowstart.Bound {
	if settings == nil {
		return slowstart.Bound{}
	}
	cold := c.settings.get().Cold
	return slowstart.Bound{Rate: settings.ColdRate, Overshoot: cold.Overshoot, Slack: cold.Slack}
}

// coldUntil returns when the backend server is warm at the latest. Servers of an evacuated
// zone may have restarted just before the zone was taken back into use, which their entries
// show only with the next heartbeat.
func (c *coldServers) coldUntil(view *knowledge.View, settings *knowledge.ServiceSettings, backend *knowledge.Backend) boottime.Instant {
	until := max(backend.ColdUntil, c.marked[backend.Incarnation])
	if returned, ok := view.Evacuations.ReturnedAt[backend.Zone]; ok {
		until = max(until, returned.Add(settings.ColdStart))
	}
	return until
}

// markCold records that a backend server may be cold for the remaining time.
func (c *coldServers) markCold(incarnation string, remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	now := boottime.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, until := range c.marked {
		if now > until {
			delete(c.marked, other)
		}
	}
	c.marked[incarnation] = max(c.marked[incarnation], now.Add(remaining))
	clear(c.services)
}

// assumeRestart records that no connection to the backend server could be opened. It may be
// restarting under its id while it is cut off from the store, in which case no entry shows
// the restart.
func (c *coldServers) assumeRestart(view *knowledge.View, backend *knowledge.Backend) {
	if settings := view.Index.Service(backend.Service); settings != nil && settings.ColdRate > 0 {
		c.markCold(backend.Incarnation, connectEjectionTime+settings.ColdStart)
	}
}

// usable returns the backend servers to which this router may send a request now: the warm
// ones, and the cold ones within this router's share of their bounds.
func (c *coldServers) usable(cold map[string]slowstart.Bound, backends []*knowledge.Backend, now boottime.Instant) []*knowledge.Backend {
	if len(cold) == 0 {
		return backends
	}
	return lo.Filter(backends, func(backend *knowledge.Backend, _ int) bool {
		bound, isCold := cold[backend.Incarnation]
		return !isCold || c.limiter.CanAcquire(coldKey(backend), bound, now)
	})
}

// acquire takes the permit for one request to the backend server; it is nil for a warm one.
// It returns false if this router may send nothing to the server now.
func (c *coldServers) acquire(cold map[string]slowstart.Bound, backend *knowledge.Backend, now boottime.Instant) (*slowstart.Permit, bool) {
	bound, isCold := cold[backend.Incarnation]
	if !isCold {
		return nil, true
	}
	permit := c.limiter.Acquire(coldKey(backend), bound, now)
	return permit, permit != nil
}

// coldKey returns the key by which all routers share the bound of a backend server.
func coldKey(backend *knowledge.Backend) uint64 { return uint64(backend.IncarnationHash) }
