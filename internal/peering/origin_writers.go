package peering

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/streamorigin"
)

const (
	// originPlanInterval is the interval at which it is decided which routers write origins.
	originPlanInterval = time.Second
	// storedOriginsWait is how long a router waits for the records of earlier processes, from
	// when it first needs them, before a stream without a record counts as unknown.
	storedOriginsWait = time.Second
)

// originPlan says which routers write the origins of streams.
type originPlan struct {
	period  time.Duration         // between two writes of a writer
	writers []streamorigin.Router // to which this router sends records
	writes  bool                  // this router is one of them
	// everWriters are those for either plan, as a sender may follow another one.
	everWriters []streamorigin.Router
}

// planOrigins decides at an interval which routers write origins, until the context ends.
// Deciding it for each stream would take processor time from requests.
func (m *Manager) planOrigins(ctx context.Context) error {
	ticker := time.NewTicker(originPlanInterval)
	defer ticker.Stop()
	for {
		m.origins.plan.Store(m.newOriginPlan(boottime.Now()))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (m *Manager) newOriginPlan(now boottime.Instant) *originPlan {
	self := streamorigin.Router{Address: m.options.Address, Hash: m.hash, Zone: m.zone}
	routers := append(m.originRouters(now, false), self)
	needed := streamorigin.PlanWrites(m.options.StoreWrites, len(routers), true)
	spare := streamorigin.PlanWrites(m.options.StoreWrites, len(routers), false)
	plan := needed
	if !gate.OriginsDecide(m.options.State.View(), now) {
		plan = spare
	}
	writers := streamorigin.Writers(routers, plan.Writers)
	return &originPlan{
		period:      plan.Period,
		writers:     writers,
		writes:      lo.Contains(writers, self),
		everWriters: streamorigin.Writers(routers, max(needed.Writers, spare.Writers)),
	}
}

// OriginWrites returns the time between two writes of origins at this router, false if it writes
// none.
func (m *Manager) OriginWrites() (time.Duration, bool) {
	plan := m.origins.plan.Load()
	if plan == nil {
		return 0, false
	}
	return plan.period, plan.writes
}

// SetStoredOrigins sets the records that earlier processes have written, which last for so long.
// Only the first call counts.
func (m *Manager) SetStoredOrigins(records []streamorigin.Record, lasts time.Duration) {
	m.origins.readOnce.Do(func() {
		m.origins.table.SetStored(records, boottime.Now().Add(lasts))
		close(m.origins.read)
	})
}

// StoredOriginsWanted returns a channel that is closed when the records of earlier processes are
// to be read. Most routers that start never need them, as the others know the origins.
func (m *Manager) StoredOriginsWanted() <-chan struct{} { return m.origins.wanted }

// wantStoredOrigins has the records of earlier processes read, and returns until when to wait for
// them. After MaxTime none of their streams can be taken up.
func (m *Manager) wantStoredOrigins(now boottime.Instant) (until boottime.Instant) {
	if m.options.Journal == nil || now.Sub(m.started) >= streamorigin.MaxTime {
		return 0
	}
	m.origins.wantOnce.Do(func() {
		m.origins.waitUntil = now.Add(storedOriginsWait)
		close(m.origins.wanted)
	})
	return m.origins.waitUntil
}

// awaitStoredOrigins waits until the records of earlier processes have been read, or can't be
// awaited any longer.
func (m *Manager) awaitStoredOrigins(ctx context.Context) {
	now := boottime.Now()
	until := m.wantStoredOrigins(now)
	if until <= now {
		return
	}
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case <-m.origins.read:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// journalOrigin adds the origin of a stream that began here to the journal, or returns the router
// that does it, "" for none.
func (m *Manager) journalOrigin(stream streamorigin.Stream, origin streamorigin.Origin, now boottime.Instant) fleet.Address {
	plan := m.origins.plan.Load()
	if plan == nil || m.options.Journal == nil {
		return ""
	}
	if plan.writes {
		m.options.Journal.Add(stream, origin, now)
		return ""
	}
	writer, _ := streamorigin.WriterOf(stream, m.zone, plan.writers)
	return writer.Address
}

// journalReceived adds the origin of a stream to the journal if its router, the sender, leaves
// that to this one.
func (m *Manager) journalReceived(sender fleet.Address, stream streamorigin.Stream, origin streamorigin.Origin, now boottime.Instant) {
	plan := m.origins.plan.Load()
	if plan == nil || m.options.Journal == nil {
		return
	}
	for _, writers := range [][]streamorigin.Router{plan.writers, plan.everWriters} {
		if leavesTo(m.options.Address, sender, m.zoneOf(sender), stream, writers) {
			m.options.Journal.Add(stream, origin, now)
			return
		}
	}
}

// leavesTo reports whether the sender of a record, in the zone, leaves its writing to a router,
// by the writers.
func leavesTo(router, sender fleet.Address, zone fleet.Zone, stream streamorigin.Stream, writers []streamorigin.Router) bool {
	if lo.ContainsBy(writers, func(writer streamorigin.Router) bool { return writer.Address == sender }) {
		return false
	}
	writer, _ := streamorigin.WriterOf(stream, zone, writers)
	return writer.Address == router
}

// zoneOf returns the zone of another router, zoneUnknown if none is known.
func (t *table) zoneOf(router fleet.Address) fleet.Zone {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.peers[router]; known != nil {
		return known.zone
	}
	return zoneUnknown
}
