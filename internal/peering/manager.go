package peering

import (
	"context"
	"net"
	"net/netip"
	"slices"
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
	// Routers returns the addresses of all routers that have registered, the
	// departed ones included.
	Routers(ctx context.Context) ([]fleet.Address, error)
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
	// beatInterval is the pause between two rounds of beats.
	beatInterval = 100 * time.Millisecond
	// beatsPerRound bounds the beats of one round, so that a large fleet costs
	// each of its routers no more than a middling one. In a larger fleet each
	// router hears from the others more rarely.
	beatsPerRound = 10
	// routersPerBeat is how many addresses of other routers a beat carries.
	// They are drawn, so all become known within some beats.
	routersPerBeat = 8
	// directoryInterval is the pause between two looks into the directory.
	directoryInterval = 3 * time.Second
	// announceAfter is the number of lists in a row without this router after
	// which it registers again.
	announceAfter = 3
	// beatMost is the size of the largest datagram.
	beatMost = 60 << 10
	// brokenRepeats is how many beats carry a fingerprint, as some get lost.
	brokenRepeats = 3
)

// Options hold what a Manager needs.
type Options struct {
	Address     fleet.Address // of the peering port, datagrams and calls
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
	socket  *net.UDPConn
	puller  *puller
	broken  []brokenEntry
}

// brokenEntry is a fingerprint that some more beats carry.
type brokenEntry struct {
	fingerprint uint64
	left        int
}

// NewManager returns a manager that is silent until Run.
func NewManager(options Options) *Manager {
	m := &Manager{table: newTable(options.Address), options: options, started: boottime.Now()}
	m.puller = newPuller(options.State, options.Logger)
	now := boottime.Now()
	for _, seed := range options.Seeds {
		m.add(seed, now)
	}
	return m
}

// pulledMost is the number of backend servers up to which routers take changes of
// the list from others. They take the whole list, so with a longer one a watch
// of the store's, which tells the change alone, costs less. Worth of a day with
// 3,000 backend servers: 0.758 by lists, 0.807 by watches.
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
	m.socket = socket
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() }) // ends receive
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.receive(ctx) })
	group.Go(func() error { return m.send(ctx) })
	group.Go(func() error { return m.register(ctx) })
	group.Go(func() error { return m.serveCalls(ctx) })
	return group.Wait()
}

// receive takes beats until the socket is closed.
func (m *Manager) receive(ctx context.Context) error {
	buffer := make([]byte, beatMost)
	for {
		n, _, err := m.socket.ReadFromUDPAddrPort(buffer)
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
		m.takeBeat(ctx, &beat)
	}
}

func (m *Manager) takeBeat(ctx context.Context, beat *peeringpb.Beat) {
	now := boottime.Now()
	taken, appeared := m.take(beat, now)
	if !taken {
		return
	}
	router := fleet.Address(beat.Address)
	if appeared {
		event.GatePeerHeard.Log(m.options.Logger, logrus.Fields{"peer": router})
	}
	for _, address := range beat.Routers {
		m.add(fleet.Address(address), now)
	}
	m.local.SetUses(router, decodeUses(beat.Uses))
	for _, fingerprint := range beat.Broken {
		m.local.HeardBroken(router, fingerprint)
	}
	m.confirm(beat, now)
	m.puller.consider(ctx, router, beat, now)
}

// confirm takes the freshness of what both routers know. The peer sent the
// beat after this router's clock showed the echo, so ages count from there: a
// beat may have waited in the socket while this process stood still.
func (m *Manager) confirm(beat *peeringpb.Beat, now boottime.Instant) {
	echo := boottime.Instant(echoIn(beat, m.options.Address))
	if echo < m.started || echo > now {
		return
	}
	if beat.ConfigAge >= 0 {
		m.options.State.ConfirmConfiguration(beat.Version, echo.Add(-time.Duration(beat.ConfigAge)))
	}
	if beat.ListAge >= 0 {
		m.options.State.ConfirmBackends(beat.Digest, echo.Add(-time.Duration(beat.ListAge)))
	}
}

// send sends beats until the context ends.
func (m *Manager) send(ctx context.Context) error {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		now := boottime.Now()
		for _, lost := range m.expire(now) {
			event.GatePeerLost.Log(m.options.Logger, logrus.Fields{"peer": lost})
			m.local.RemoveUses(lost)
		}
		m.sendBeats(turn(m.targets(now), round), now)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// turn returns the targets of a round. All have their turn in as few rounds as
// the bound allows.
func turn(targets []fleet.Address, round int) []fleet.Address {
	rounds := (len(targets) + beatsPerRound - 1) / beatsPerRound
	if rounds <= 1 {
		return targets
	}
	slices.Sort(targets)
	return lo.Filter(targets, func(_ fleet.Address, index int) bool { return index%rounds == round%rounds })
}

func (m *Manager) sendBeats(targets []fleet.Address, now boottime.Instant) {
	data, err := proto.Marshal(m.beat(targets, now))
	if err != nil {
		panic(err) // only text that is no UTF-8 can't be encoded
	}
	for _, target := range targets {
		address, err := netip.ParseAddrPort(string(target))
		if err != nil {
			continue // a directory entry that is no address
		}
		// A router that can't be reached is noticed by its silence.
		_, _ = m.socket.WriteToUDPAddrPort(data, address)
	}
}

// beat returns what is told to the targets.
func (m *Manager) beat(targets []fleet.Address, now boottime.Instant) *peeringpb.Beat {
	view := m.options.State.View()
	beat := &peeringpb.Beat{
		Address:     string(m.options.Address),
		Incarnation: m.options.Incarnation,
		Clock:       int64(now),
		Echoes:      m.echoes(targets),
		Version:     view.Version(),
		ConfigAge:   age(view.Configured, now),
		Digest:      view.Digest,
		Revision:    view.Revision,
		ListAge:     age(view.Listed, now),
		ContactAge:  age(view.Contact, now),
		Broken:      m.takeBroken(),
		Routers:     lo.Map(lo.Samples(m.heard(now), routersPerBeat), func(address fleet.Address, _ int) string { return string(address) }),
	}
	beat.Uses = encodeUses(m.local.Uses())
	beat.Loads = encodeLoads(m.local.Loads())
	return beat
}

// age returns nanoseconds, negative when the moment is unknown.
func age(since, now boottime.Instant) int64 {
	if since == 0 {
		return -1
	}
	return int64(now.Sub(since))
}

func (m *Manager) takeBroken() []uint64 {
	for _, fingerprint := range m.local.TakeBroken() {
		m.broken = append(m.broken, brokenEntry{fingerprint: fingerprint, left: brokenRepeats})
	}
	var carried []uint64
	kept := m.broken[:0]
	for _, entry := range m.broken {
		carried = append(carried, entry.fingerprint)
		entry.left--
		if entry.left > 0 {
			kept = append(kept, entry)
		}
	}
	m.broken = kept
	return carried
}

// register announces this router and looks for others until the context ends.
func (m *Manager) register(ctx context.Context) error {
	missing := announceAfter // lists in a row that lack this router
	for {
		if missing >= announceAfter {
			err := m.options.Directory.Announce(ctx, m.options.Address)
			m.logFailure(ctx, err)
			if err == nil {
				missing = 0
			}
		}
		addresses, err := m.options.Directory.Routers(ctx)
		m.logFailure(ctx, err)
		if err == nil {
			missing = m.takeDirectory(ctx, addresses, missing)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(directoryInterval):
		}
	}
}

// takeDirectory takes a list of the routers and returns how many in a row have
// lacked this one. The list may be seconds old, so one that does means nothing.
func (m *Manager) takeDirectory(ctx context.Context, addresses []fleet.Address, missing int) int {
	now := boottime.Now()
	for _, address := range addresses {
		m.add(address, now)
	}
	if m.Follows() {
		for _, gone := range m.gone(addresses, now) {
			m.logFailure(ctx, m.options.Directory.Remove(ctx, gone))
		}
	}
	if slices.Contains(addresses, m.options.Address) {
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
