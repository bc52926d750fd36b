package peering

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// Directory is where routers register and find each other.
type Directory interface {
	// Register registers the router under its name.
	Register(ctx context.Context, address fleet.Address) error
	// Routers returns the availability zones of all routers that have registered,
	// the departed ones included, by their addresses.
	Routers(ctx context.Context) (map[fleet.Address]fleet.Zone, error)
	// Remove removes the entry of a router that Routers has returned. A router
	// that is there after all registers again.
	Remove(ctx context.Context, address fleet.Address) error
}

// Local is the router's own part in what beats carry.
type Local interface {
	// Usages returns what each account asked and got here.
	Usages() map[fleet.Account]shares.Usage
	// Loads returns what runs at backend servers, by their incarnations' hashes.
	Loads() map[uint32]gate.BackendLoad
	// Paces returns what this router has seen of how fast backend servers work, by their
	// incarnations' hashes. It is nil if it has seen nothing.
	Paces() map[uint32]pace.Observation
	// TakeCrashFingerprints returns the fingerprints of requests that were found here, since
	// the last call, to have run at a backend server that went down.
	TakeCrashFingerprints() []uint64
	// SetUsages takes the uses of another router.
	SetUsages(router fleet.Address, uses map[fleet.Account]shares.Usage)
	// RemoveUsages forgets a router that is no longer heard.
	RemoveUsages(router fleet.Address)
	// ReceiveCrashFingerprint takes a fingerprint from another router. It may come more
	// than once.
	ReceiveCrashFingerprint(router fleet.Address, fingerprint uint64)
	// Status returns what operators want to know of this router.
	Status() gate.Status
	// SetDrained carries out an operator's order to leave new callers to
	// others, or to take them again. It returns the requests in progress.
	SetDrained(drained bool, operator, reason string) int
}

// Options hold what a Manager needs.
type Options struct {
	Address     fleet.Address // of the peering port, datagrams and calls
	Zone        fleet.Zone
	Seeds       []fleet.Address
	Incarnation uint64
	Directory   Directory
	State       *knowledge.State
	Logger      logrus.FieldLogger
	Network     Network // sockets at Address if nil
}

// Manager exchanges beats with the other routers. It implements gate.Peers.
type Manager struct {
	*table
	options   Options
	local     Local
	started   boottime.Instant
	network   Network
	puller    *puller
	records   *peerRecords
	traffic   *traffic
	broken    []brokenEntry
	zoneLog   sumLog      // what this zone uses, as the other zones are told
	othersLog sumLog      // what other zones use, as this one is told
	looked    atomic.Bool // whether the directory has answered
}

// NewManager returns a manager that is silent until Run.
func NewManager(options Options) *Manager {
	m := &Manager{table: newTable(options.Address, options.Zone), options: options, network: options.Network, started: boottime.Now()}
	m.records = &peerRecords{logger: options.Logger}
	m.traffic = newTraffic(options.Logger, m.started)
	m.puller = newPuller(options.State, options.Zone, options.Logger)
	m.puller.pulled = m.countPulled
	now := boottime.Now()
	for _, seed := range options.Seeds {
		m.add(seed, zoneUnknown, now)
	}
	return m
}

// SetLocal names the router's own part. It must be called before Run.
func (m *Manager) SetLocal(local Local) { m.local = local }

// Run exchanges beats until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	if m.network == nil {
		sockets, err := listen(m.options.Address)
		if err != nil {
			return err
		}
		m.network = sockets
	}
	m.puller.network = m.network
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.network.Serve(ctx, m.receiver()) })
	group.Go(func() error { return m.send(ctx) })
	group.Go(func() error { return m.register(ctx) })
	return group.Wait()
}

// receiver returns what takes the messages of others.
func (m *Manager) receiver() Receiver {
	return Receiver{
		Heartbeat: func(ctx context.Context, data []byte) {
			var beat peeringpb.Beat
			if err := proto.Unmarshal(data, &beat); err != nil {
				return // not from a router
			}
			m.takeBeat(ctx, &beat, boottime.Now())
		},
		Knowledge: &server{state: m.options.State},
		Operation: &operation{manager: m},
	}
}

func (m *Manager) takeBeat(ctx context.Context, beat *peeringpb.Beat, now boottime.Instant) {
	taken, appeared := m.take(beat, now)
	if !taken {
		return
	}
	router := fleet.Address(beat.Address)
	if appeared {
		m.records.noteHeard(router)
	}
	for _, address := range beat.Routers {
		m.add(fleet.Address(address), zoneUnknown, now)
	}
	m.local.SetUsages(router, m.uses(router))
	if beat.Sums != nil || beat.SumChanges != nil {
		m.local.SetUsages(elsewhere, m.refreshOthers(now))
	}
	for _, fingerprint := range beat.Broken {
		m.local.ReceiveCrashFingerprint(router, fingerprint)
	}
	m.confirm(beat, now)
	m.puller.consider(ctx, router, beat, m.alone, now)
}

// confirm takes the freshness of what both routers know. The peer sent the
// beat after this router's clock showed the echo, so ages count from there: a
// beat may have waited in the socket while this process stood still.
func (m *Manager) confirm(beat *peeringpb.Beat, now boottime.Instant) {
	echo := boottime.Instant(echoIn(beat, m.options.Address))
	if echo < m.started || echo > now {
		echo = 0
	}
	takeEvacuations(m.options.State, beat.Evacuations, echo, now)
	if echo == 0 {
		return
	}
	if beat.ConfigAge >= 0 {
		m.options.State.ConfirmConfiguration(beat.Version, echo.Add(-time.Duration(beat.ConfigAge)))
	}
	if beat.ListAge >= 0 {
		m.options.State.ConfirmBackends(beat.Digest, echo.Add(-time.Duration(beat.ListAge)))
	}
}
