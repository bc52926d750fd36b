package peering

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

// Directory is where routers register and find each other.
type Directory interface {
	// Announce registers the router under its name.
	Announce(ctx context.Context, address fleet.Address) error
	// Routers returns the availability zones of all routers that have registered,
	// the departed ones included, by their addresses.
	Routers(ctx context.Context) (map[fleet.Address]fleet.Zone, error)
	// Remove removes the entry of a router that Routers has returned. A router
	// that is there after all registers again.
	Remove(ctx context.Context, address fleet.Address) error
}

// Local is the router's own part in what beats carry.
type Local interface {
	// Uses returns what each account asked and got here.
	Uses() map[fleet.Account]shares.Use
	// Loads returns what runs at backend servers, by their incarnations' hashes.
	Loads() map[uint32]gate.BackendLoad
	// TakeBroken returns the fingerprints of requests that broke a backend
	// server here since the last call.
	TakeBroken() []uint64
	// SetUses takes the uses of another router.
	SetUses(router fleet.Address, uses map[fleet.Account]shares.Use)
	// RemoveUses forgets a router that is no longer heard.
	RemoveUses(router fleet.Address)
	// HeardBroken takes a fingerprint from another router. It may come more
	// than once.
	HeardBroken(router fleet.Address, fingerprint uint64)
	// Status returns what operators want to know of this router.
	Status() gate.Status
	// SetDrained carries out an operator's order to leave new callers to
	// others, or to take them again. It returns the requests in progress.
	SetDrained(drained bool, operator, reason string) int
}

const (
	// startInterval is the pause between the first startLooks looks into the
	// directory, in which all routers of a fleet that starts have registered. A
	// router that comes later finds the others there and tells them.
	startInterval = 3 * time.Second
	startLooks    = 3
	// directoryInterval is the pause between later looks. They only find routers
	// that were cut off for longer than their addresses are tried, so it is well
	// below addressLife.
	directoryInterval = 30 * time.Second
	// announceAfter is the number of lists in a row without this router after
	// which it registers again.
	announceAfter = 3
)

// Options hold what a Manager needs.
type Options struct {
	Address     fleet.Address // of the peering port, datagrams and calls
	Zone        fleet.Zone
	Seeds       []fleet.Address
	Incarnation uint64
	Directory   Directory
	State       *knowledge.State
	Logger      logrus.FieldLogger
}

// Manager exchanges beats with the other routers. It implements gate.Peers.
type Manager struct {
	*table
	options Options
	local   Local
	started boottime.Instant
	deliver func(data []byte, target fleet.Address)
	puller  *puller
	broken  []brokenEntry
	looked  atomic.Bool // whether the directory has answered
}

// NewManager returns a manager that is silent until Run.
func NewManager(options Options) *Manager {
	m := &Manager{table: newTable(options.Address, options.Zone), options: options, started: boottime.Now()}
	m.puller = newPuller(options.State, options.Zone, options.Logger)
	now := boottime.Now()
	for _, seed := range options.Seeds {
		m.add(seed, zoneUnknown, now)
	}
	return m
}

// pulledMost is the number of backend servers up to which routers take changes of
// the list from others. They take the whole list, so with a longer one a watch
// of the store's, which tells the change alone, costs less. With 3,000 backend servers
// routers spent so much on lists that the users' mark of the service, 1 for all in time
// at no cost, was 0.758; it is 0.807 with watches.
const pulledMost = 200

// Follows implements gate.Peers.
func (m *Manager) Follows() bool {
	return len(m.options.State.View().Backends) > pulledMost || m.table.Follows()
}

// SetLocal names the router's own part. It must be called before Run.
func (m *Manager) SetLocal(local Local) { m.local = local }

// Run exchanges beats until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	parsed, err := netip.ParseAddrPort(string(m.options.Address))
	if err != nil {
		return fleet.Wrap(err, fleet.StepSpread, m.options.Address)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return fleet.Wrap(err, fleet.StepSpread, m.options.Address)
	}
	m.deliver = overSocket(socket)
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() }) // ends receive
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.receive(ctx, socket) })
	group.Go(func() error { return m.send(ctx) })
	group.Go(func() error { return m.register(ctx) })
	group.Go(func() error { return m.serveCalls(ctx) })
	return group.Wait()
}

// receive takes beats until the socket is closed.
func (m *Manager) receive(ctx context.Context, socket *net.UDPConn) error {
	buffer := make([]byte, beatMost)
	for {
		n, _, err := socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A datagram that could not be delivered may show here. The next
			// read works; a pause keeps a lasting fault from spinning.
			time.Sleep(time.Millisecond)
			continue
		}
		var beat peeringpb.Beat
		if err := proto.Unmarshal(buffer[:n], &beat); err != nil {
			continue // not from a router
		}
		m.takeBeat(ctx, &beat, boottime.Now())
	}
}

func (m *Manager) takeBeat(ctx context.Context, beat *peeringpb.Beat, now boottime.Instant) {
	taken, appeared := m.take(beat, now)
	if !taken {
		return
	}
	router := fleet.Address(beat.Address)
	if appeared {
		event.GatePeerHeard.Log(m.options.Logger, logrus.Fields{"peer": router})
	}
	for _, address := range beat.Routers {
		m.add(fleet.Address(address), zoneUnknown, now)
	}
	m.local.SetUses(router, m.uses(router))
	if beat.Sums != nil {
		m.local.SetUses(elsewhere, m.refreshOthers(now))
	}
	for _, fingerprint := range beat.Broken {
		m.local.HeardBroken(router, fingerprint)
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

// register announces this router and looks for others until the context ends.
func (m *Manager) register(ctx context.Context) error {
	missing := announceAfter // lists in a row that lack this router
	wentBack := m.options.State.View().WentBack
	for look := 1; ; look++ {
		if missing >= announceAfter {
			err := m.options.Directory.Announce(ctx, m.options.Address)
			m.logFailure(ctx, err)
			if err == nil {
				missing = 0
			}
		}
		zones, err := m.options.Directory.Routers(ctx)
		m.logFailure(ctx, err)
		if err == nil {
			missing = m.takeDirectory(ctx, zones, missing)
		}
		m.awaitLook(ctx, lookPause(look, len(m.heard(boottime.Now()))), wentBack)
		if ctx.Err() != nil {
			return nil
		}
		if again := m.options.State.View().WentBack; again != wentBack {
			// The store may have lost this router's entry, and those of others that
			// came of late. Routers that hear nobody find each other by them alone, so
			// it is looked into as at the start, and one list without it is enough.
			wentBack, look = again, 0
			missing = max(missing, announceAfter-1)
		}
	}
}

// awaitLook waits for the time, or until the store has come back from an older copy since
// the moment, or the context ends.
func (m *Manager) awaitLook(ctx context.Context, pause time.Duration, wentBack boottime.Instant) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		changed := m.options.State.Changed()
		if m.options.State.View().WentBack != wentBack {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

// lookPause returns the pause after so many looks into the directory. A router that
// hears nobody goes on as at the start.
func lookPause(looks, heard int) time.Duration {
	if looks < startLooks || heard == 0 {
		return startInterval
	}
	return directoryInterval
}

// takeDirectory takes a list of the routers and returns how many in a row have
// lacked this one. The list may be seconds old, so one that does means nothing.
func (m *Manager) takeDirectory(ctx context.Context, zones map[fleet.Address]fleet.Zone, missing int) int {
	now := boottime.Now()
	m.looked.Store(true)
	for address, zone := range zones {
		m.add(address, zone, now)
	}
	if m.Follows() {
		for _, gone := range m.gone(lo.Keys(zones), now) {
			m.logFailure(ctx, m.options.Directory.Remove(ctx, gone))
		}
	}
	if _, listed := zones[m.options.Address]; listed {
		return 0
	}
	return missing + 1
}

func (m *Manager) logFailure(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	event.GateStoreError.Log(m.options.Logger, logrus.Fields{"error": err.Error()})
}
