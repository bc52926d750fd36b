package peering

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/shares"
	"github.com/bluebellchute/bluebellchute/internal/streamorigin"
)

// Directory is where routers register and find each other.
type Directory interface {
	// Register adds the router's entry under its own name.
	Register(ctx context.Context, address fleet.Address) error
	// Routers returns the availability zones of all registered routers by address,
	// including those that have ended.
	Routers(ctx context.Context) (map[fleet.Address]fleet.Zone, error)
	// Remove removes an entry that Routers has returned. A router that is still running
	// registers again.
	Remove(ctx context.Context, address fleet.Address) error
}

// Local provides the state of the local router that heartbeats carry, and receives that
// of other routers.
type Local interface {
	// Usages returns the tokens requested by and granted to each account at this router.
	Usages() map[fleet.Account]shares.Usage
	// Loads returns this router's load at backend servers, by the hashes of their
	// incarnations.
	Loads() map[uint32]gate.BackendLoad
	// Paces returns what this router has observed of how fast backend servers work, by
	// the hashes of their incarnations. It is nil without observations.
	Paces() map[uint32]pace.Observation
	// TakeCrashFingerprints returns the fingerprints of requests that this router has
	// found, since the last call, to have been running at a backend server that crashed.
	TakeCrashFingerprints() []uint64
	// SetUsages replaces the usages reported by another router.
	SetUsages(router fleet.Address, usages map[fleet.Account]shares.Usage)
	// RemoveUsages removes the usages of a router that is no longer reachable.
	RemoveUsages(router fleet.Address)
	// ReceiveCrashFingerprint adds a fingerprint reported by another router. It may be
	// called several times with the same one.
	ReceiveCrashFingerprint(router fleet.Address, fingerprint uint64)
	// NextCrashEvidence returns what this router has yet to tell others of prompt segments
	// that crash backend servers, in about limit bytes.
	NextCrashEvidence(limit int, now boottime.Instant) crash.Evidence
	// RefusedSegments returns the evidence on refused segments from a position on, in about
	// limit bytes, and the position after it, 0 at the end.
	RefusedSegments(from, limit int, now boottime.Instant) (evidence crash.Evidence, next int)
	// ReceiveCrashEvidence applies what another router has told, and returns what to tell it
	// in reply.
	ReceiveCrashEvidence(evidence crash.Evidence, now boottime.Instant) crash.Evidence
	// ClearSegment lets requests with a segment be sent again, on an operator's request. It
	// reports whether a crash counted against the segment.
	ClearSegment(segment crash.Segment, operator, reason string) bool
	// Status returns the status of this router for operators.
	Status() gate.Status
	// SetDrained drains this router on an operator's request, so that new callers go to
	// others, or ends the drain. It returns the number of requests in progress.
	SetDrained(drained bool, operator, reason string) int
}

// Options configure a Manager.
type Options struct {
	Address     fleet.Address // of the peering port, for datagrams and calls
	Zone        fleet.Zone
	Seeds       []fleet.Address // routers to contact before the directory has been read
	Incarnation uint64          // of this process; must rise with each restart
	Directory   Directory
	State       *knowledge.State
	Logger      logrus.FieldLogger
	Network     Network // nil for sockets at Address
	// Journal collects the origins of streams that this router writes to the store, nil for
	// none. StoreWrites is how many writes a second the store takes from all routers.
	Journal     *streamorigin.Journal
	StoreWrites int
}

// Manager exchanges heartbeats with the other routers. It implements gate.Peers and
// gate.StreamOrigins.
type Manager struct {
	*table
	options Options
	local   Local
	started boottime.Instant
	network Network
	puller  *puller
	peerLog *peerLog
	traffic *traffic
	origins *origins
	// historyWantedUntil is until when heartbeats carry the history of software versions, on
	// the boot-time clock.
	historyWantedUntil atomic.Int64
	fingerprints       []fingerprintEntry // to be sent to the other routers
	zoneLog            aggregateLog       // usage of this zone as sent to other zones
	otherZonesLog      aggregateLog       // usage of other zones as sent within this zone
	directoryRead      atomic.Bool        // set after the first successful read of the directory
	directoryListed    chan struct{}      // closed then
	startedTogether    chan int           // receives the number of routers, with room for it
}

// NewManager returns a manager that sends nothing until Run.
func NewManager(options Options) *Manager {
	m := &Manager{table: newTable(options.Address, options.Zone), options: options, network: options.Network, started: boottime.Now(), directoryListed: make(chan struct{}), startedTogether: make(chan int, 1)}
	m.peerLog = &peerLog{logger: options.Logger}
	m.origins = newOrigins()
	m.traffic = newTraffic(options.Logger, m.started)
	m.puller = newPuller(options.State, options.Zone, options.Logger)
	m.puller.onReply = m.countPulled
	options.State.AwaitPeers()
	now := boottime.Now()
	for _, seed := range options.Seeds {
		m.add(seed, zoneUnknown, now)
	}
	return m
}

// SetLocal sets the local router. It must be called before Run.
func (m *Manager) SetLocal(local Local) { m.local = local }

// Run exchanges heartbeats until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	if m.network == nil {
		sockets, err := listen(m.options.Address)
		if err != nil {
			return err
		}
		m.network = sockets
	}
	m.puller.network = m.network
	m.origins.network.Store(&m.network)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.network.Serve(ctx, m.receiver()) })
	group.Go(func() error { return m.send(ctx) })
	group.Go(func() error { return m.tellEvidence(ctx) })
	group.Go(func() error { return m.maintainRegistration(ctx) })
	group.Go(func() error { return m.findNewest(ctx) })
	if m.options.Journal != nil {
		group.Go(func() error { return m.planOrigins(ctx) })
	}
	return group.Wait()
}

// receiver returns the handlers of incoming messages.
func (m *Manager) receiver() Receiver {
	return Receiver{
		Heartbeat: func(ctx context.Context, data []byte) {
			var heartbeat peeringpb.Beat
			if err := proto.Unmarshal(data, &heartbeat); err != nil {
				return // not a heartbeat
			}
			if !validNames(&heartbeat) {
				return // not from a router
			}
			if heartbeat.StreamOrigin != nil {
				m.handleOrigin(fleet.Address(heartbeat.Address), heartbeat.StreamOrigin, boottime.Now())
				return
			}
			if heartbeat.CrashEvidence != nil {
				m.handleEvidence(fleet.Address(heartbeat.Address), heartbeat.CrashEvidence, boottime.Now())
				return
			}
			m.handleHeartbeat(ctx, &heartbeat, boottime.Now())
		},
		Knowledge: &server{state: m.options.State},
		Operation: &operation{manager: m},
	}
}

// handleHeartbeat applies a heartbeat received at the given time, and requests newer state
// from its sender if there is any.
func (m *Manager) handleHeartbeat(ctx context.Context, heartbeat *peeringpb.Beat, now boottime.Instant) {
	router := fleet.Address(heartbeat.Address)
	incarnation := m.incarnationOf(router)
	accepted, joined := m.applyHeartbeat(heartbeat, now)
	if !accepted {
		return
	}
	if heartbeat.WantsHistory {
		m.historyWantedUntil.Store(int64(now.Add(historyTellTime)))
	}
	if joined {
		m.peerLog.addReachable(router)
	}
	if joined || heartbeat.Incarnation != incarnation {
		m.tellNewcomer(router, now)
	}
	for _, address := range heartbeat.Routers {
		m.add(fleet.Address(address), zoneUnknown, now)
	}
	m.local.SetUsages(router, m.usagesOf(router))
	if heartbeat.Sums != nil || heartbeat.SumChanges != nil {
		m.local.SetUsages(otherZones, m.refreshOtherZones(now))
	}
	for _, fingerprint := range heartbeat.Broken {
		m.local.ReceiveCrashFingerprint(router, fingerprint)
	}
	m.applyConfirmations(heartbeat, now)
	if heartbeat.ConfigAge >= 0 {
		m.options.State.EndPeerWait(heartbeat.Version)
	}
	m.puller.pullIfNewer(ctx, router, heartbeat, m.aloneInZone, now)
}

// applyConfirmations records how recently the peer's state was confirmed, as far as this
// router has the same state. The peer's ages are relative to the time at which it sent the
// heartbeat. Instead of that time, which this router does not know, it uses an earlier one:
// its own clock as the peer last received it and echoes it. The time of arrival would be
// too late if the heartbeat waited in the socket while this process was suspended.
func (m *Manager) applyConfirmations(heartbeat *peeringpb.Beat, now boottime.Instant) {
	echo := boottime.Instant(echoedClock(heartbeat, m.options.Address))
	if echo < m.started || echo > now {
		echo = 0
	}
	applyEvacuations(m.options.State, heartbeat.Evacuations, echo, now)
	applySoftwareHistory(m.options.State, heartbeat, echo, now)
	if echo == 0 {
		return
	}
	if heartbeat.ConfigAge >= 0 {
		m.options.State.ConfirmConfiguration(heartbeat.Version, echo.Add(-time.Duration(heartbeat.ConfigAge)))
	}
	if heartbeat.ListAge >= 0 {
		m.options.State.ConfirmBackends(heartbeat.Digest, echo.Add(-time.Duration(heartbeat.ListAge)))
	}
}
