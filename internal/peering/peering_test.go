package peering

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/gate"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/internal/shares"
)

const self = "10.0.0.1:1"

// backendLoad is a load at one backend server.
type backendLoad struct {
	backend uint32
	load    gate.BackendLoad
}

func newHeartbeat(address string, incarnation uint64, clock int64, loads ...backendLoad) *peeringpb.Beat {
	byBackend := make(map[uint32]gate.BackendLoad)
	for _, at := range loads {
		byBackend[at.backend] = at.load
	}
	return &peeringpb.Beat{Address: address, Incarnation: incarnation, Clock: clock, Loads: encodeLoads(byBackend)}
}

func newEchoes(clock int64) *peeringpb.Echoes {
	return &peeringpb.Echoes{Router: []uint64{addressHash("other"), addressHash(self)}, Clock: []int64{clock + 1, clock}}
}

func loadOfBackend(id string, running int, pending float64) backendLoad {
	return backendLoad{backend: knowledge.IncarnationHash(id), load: gate.BackendLoad{Running: running, Pending: pending}}
}

// Decoded loads and usages equal the encoded ones, but for rounding by less than a unit.
func TestLoadsAndUsesArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := make(map[uint32]gate.BackendLoad)
		usages := make(map[fleet.Account]shares.Usage)
		for range rapid.IntRange(0, 9).Draw(t, "count") {
			loads[rapid.Uint32().Draw(t, "backend")] = gate.BackendLoad{
				Running: rapid.IntRange(0, 1000).Draw(t, "running"),
				Pending: rapid.Float64Range(0, 1e6).Draw(t, "pending"),
				Memory:  rapid.Float64Range(0, 1e6).Draw(t, "memory"),
			}
			account := fleet.Account(rapid.StringMatching("[a-z]{1,6}").Draw(t, "account"))
			usages[account] = shares.Usage{Requested: rapid.Float64Range(0, 1e7).Draw(t, "asked"), Granted: rapid.Float64Range(0, 1e7).Draw(t, "got"), Idle: rapid.Float64Range(0, 1e7).Draw(t, "idle")}
		}
		arrived := decodeLoads(encodeLoads(loads))
		for backend, load := range loads {
			got := arrived[backend]
			if got.Running != load.Running || got.Pending < load.Pending || got.Pending-load.Pending > tokensPerLoadUnit || got.Memory < load.Memory {
				t.Fatalf("%+v is decoded as %+v", load, got)
			}
		}
		for account, usage := range usages {
			if got := decodeUsages(encodeUsages(usages))[account]; usage.Requested-got.Requested >= 1 || usage.Granted-got.Granted >= 1 || usage.Idle-got.Idle >= 1 {
				t.Fatalf("%+v is decoded as %+v", usage, got)
			}
		}
	})
}

// Guards against a crash by an index out of range. A datagram of another version of the
// program, or from a foreign sender, may have lists of different lengths.
func TestListsOfDifferentLengthsAreTruncated(t *testing.T) {
	loads := decodeLoads(&peeringpb.Loads{Backend: []uint32{1, 2}, Running: []uint32{1}, Pending: []uint32{1, 1}, Memory: []uint32{1}})
	usages := decodeUsages(&peeringpb.AccountUses{Account: []string{"a", "b"}, Asked: []uint64{1, 2}})
	heartbeat := &peeringpb.Beat{Echoes: &peeringpb.Echoes{Router: []uint64{addressHash(self)}}}
	if len(loads) != 1 || len(usages) != 0 || echoedClock(heartbeat, self) != 0 {
		t.Errorf("loads %v, usages %v, echo %d", loads, usages, echoedClock(heartbeat, self))
	}
}

// A heartbeat among 24 routers with 45 backend servers and 16 accounts has 1,564 bytes
// with a message for each load, usage and echo and 64-bit hashes of backend servers, and
// 827 bytes with packed lists. Observations of 43 engines, which one heartbeat in five
// carries, increase 845 bytes to 1,378, and five slowed engines add 44.
func BenchmarkBeatBytes(b *testing.B) {
	loads := make(map[uint32]gate.BackendLoad)
	usages := make(map[fleet.Account]shares.Usage)
	echoes := &peeringpb.Echoes{}
	for i := range 45 {
		loads[knowledge.IncarnationHash(fmt.Sprint("i-", i))] = gate.BackendLoad{Running: 3, Pending: 5000, Memory: 30_000}
	}
	for i := range 16 {
		usages[fleet.Account(fmt.Sprint("acct", i))] = shares.Usage{Requested: 40_000, Granted: 20_000}
	}
	for i := range 10 {
		echoes.Router, echoes.Clock = append(echoes.Router, uint64(i)<<40), append(echoes.Clock, int64(boottime.Now()))
	}
	for _, variant := range []struct {
		name        string
		slowed, due bool
	}{{"no paces", false, false}, {"paces", false, true}, {"slowed", true, false}, {"paces and slowed", true, true}} {
		b.Run(variant.name, func(b *testing.B) {
			now := boottime.Now()
			seen := make(map[uint32]pace.Observation)
			if variant.due || variant.slowed {
				seen = fakeEnginePaces(43, variant.slowed, now)
			}
			own := splitPaces(seen, now)
			size := 0
			for b.Loop() {
				heartbeat := &peeringpb.Beat{Address: self, Incarnation: 1 << 60, Clock: int64(now), Version: 7, Digest: 1 << 60,
					Echoes: echoes, Uses: encodeUsages(usages), Loads: encodeLoads(loads)}
				heartbeat.Paces, heartbeat.Slowed = own.encode(variant.due, now)
				data, err := proto.Marshal(heartbeat)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// fakeEnginePaces returns observations of the given number of engines. With slowed set, a
// tenth of them is in a slow phase.
func fakeEnginePaces(engines int, slowed bool, now boottime.Instant) map[uint32]pace.Observation {
	seen := make(map[uint32]pace.Observation, engines)
	for i := range engines {
		observation := pace.Observation{Usual: 1.2, Now: 1.2, NowAt: now, ReadTokens: 30_000, ReadSeconds: 4.2, Streams: 22, Late: 3}
		if slowed && i%10 == 0 {
			observation.Now = 3
		}
		seen[knowledge.IncarnationHash(fmt.Sprint("i-", i))] = observation
	}
	return seen
}

func TestLoadsAreSummedAndReplaced(t *testing.T) {
	now := boottime.Now()
	table := newTable(self, "")
	table.applyHeartbeat(newHeartbeat("a", 1, 1, loadOfBackend("i", 3, 96)), now)
	table.applyHeartbeat(newHeartbeat("b", 1, 1, loadOfBackend("i", 2, 48)), now)
	if got := table.Load(knowledge.IncarnationHash("i")); got.Running != 5 || got.Pending != 144 {
		t.Errorf("load %+v of two routers", got)
	}
	table.applyHeartbeat(newHeartbeat("a", 1, 2, loadOfBackend("j", 1, 1)), now)
	if got := table.Load(knowledge.IncarnationHash("i")); got.Running != 2 || got.Pending != 48 {
		t.Errorf("load %+v after one router has none", got)
	}
}

func TestOutOfOrderHeartbeatIsIgnored(t *testing.T) {
	now := boottime.Now()
	table := newTable(self, "")
	table.applyHeartbeat(newHeartbeat("a", 2, 10, loadOfBackend("i", 3, 0)), now)
	for _, late := range []*peeringpb.Beat{newHeartbeat("a", 2, 9), newHeartbeat("a", 1, 99), newHeartbeat(self, 1, 1)} {
		if taken, _ := table.applyHeartbeat(late, now); taken {
			t.Errorf("%v was accepted", late)
		}
	}
	if got := table.Load(knowledge.IncarnationHash("i")).Running; got != 3 {
		t.Errorf("%d requests running, want 3", got)
	}
}

// Guards against requests that avoid idle backend servers after a router was killed,
// because the load of its last heartbeat counted permanently.
func TestLoadsOfLostRoutersAreRemoved(t *testing.T) {
	now := boottime.Now()
	table := newTable(self, "")
	table.applyHeartbeat(newHeartbeat("a", 1, 1, loadOfBackend("i", 3, 100)), now)
	if lost := table.expire(now.Add(minPeerTimeout / 2)); len(lost) != 0 {
		t.Fatalf("expired too early: %v", lost)
	}
	if lost := table.expire(now.Add(minPeerTimeout)); len(lost) != 1 {
		t.Fatalf("expired routers: %v, want one", lost)
	}
	if got := table.Load(knowledge.IncarnationHash("i")); got.Running != 0 {
		t.Errorf("load %+v of an expired router", got)
	}
}

// Guards against more retries than the fleet's budget allows. Routers that are cut off
// from each other must not each take the whole budget as their own.
func TestUnreachableRoutersStillCount(t *testing.T) {
	now := boottime.Now()
	table := newTable(self, "")
	for _, address := range []string{"a", "b", "c"} {
		table.applyHeartbeat(newHeartbeat(address, 1, 1), now)
	}
	table.expire(now.Add(2 * minPeerTimeout))
	if got := table.Routers(); got != 4 {
		t.Errorf("%d routers, want 4", got)
	}
	table.expire(now.Add(2 * routerCountTTL))
	if got := table.Routers(); got != 1 {
		t.Errorf("%d routers long after the others became unreachable, want 1", got)
	}
}

// Guards against a withdrawn key that is accepted. When a process is suspended for
// seconds, heartbeats wait in its socket, and their ages must count from when they were
// sent, not from when they were read.
func TestDelayedHeartbeatConfirmsOnlyItsSendTime(t *testing.T) {
	state := knowledge.NewState()
	old := boottime.Now().Add(-time.Minute)
	state.SetConfiguration(&knowledge.Configuration{Version: 3}, old)
	manager := &Manager{options: Options{Address: self, State: state}, started: old}
	now := boottime.Now()
	echo := now.Add(-10 * time.Second) // this router's clock when the peer last received it
	manager.applyConfirmations(&peeringpb.Beat{Echoes: newEchoes(int64(echo)), Version: 3, ConfigAge: int64(time.Second), ListAge: -1}, now)
	if got, want := state.View().ConfigurationConfirmedAt, echo.Add(-time.Second); got != want {
		t.Errorf("confirmed %v ago, want %v", now.Sub(got), now.Sub(want))
	}
	before := state.View().ConfigurationConfirmedAt
	for _, heartbeat := range []*peeringpb.Beat{
		{Echoes: newEchoes(0), Version: 3, ConfigAge: 0, ListAge: -1},
		{Echoes: newEchoes(int64(now.Add(time.Hour))), Version: 3, ConfigAge: 0, ListAge: -1},
		{Echoes: newEchoes(int64(old.Add(-time.Hour))), Version: 3, ConfigAge: 0, ListAge: -1},
		{Echoes: newEchoes(int64(now)), Version: 2, ConfigAge: 0, ListAge: -1},
		{Echoes: newEchoes(int64(now)), Version: 3, ConfigAge: -1, ListAge: -1},
	} {
		manager.applyConfirmations(heartbeat, now)
		if got := state.View().ConfigurationConfirmedAt; got != before {
			t.Errorf("%v confirmed the configuration", heartbeat)
		}
	}
}

// Guards against a cold backend server that gets the load of two fleets. When a fleet is
// partitioned, routers that have become unreachable must still count.
func TestUnreachableRoutersKeepTheirShareOfColdServers(t *testing.T) {
	table := newTable(self, "")
	now := boottime.Now()
	for i := range 9 {
		table.applyHeartbeat(newHeartbeat(fmt.Sprintf("10.0.1.%d:1", i), 1, 1), now)
	}
	before, known := table.Order(77)
	table.expire(now.Add(time.Minute))
	if after, left := table.Order(77); known != 10 || left != known || after != before {
		t.Errorf("rank %d of %d, then %d of %d", before, known, after, left)
	}
}

// Each router has a different place in the order for a backend server, and the first
// router differs from server to server.
func TestOrderOfRoutersDiffersByKey(t *testing.T) {
	addresses := make([]fleet.Address, 8)
	for i := range addresses {
		addresses[i] = fleet.Address(fmt.Sprintf("10.0.1.%d:1", i))
	}
	firsts := make(map[fleet.Address]bool)
	for key := range uint64(50) {
		places := make(map[int]bool)
		for _, address := range addresses {
			table := newTable(address, "")
			for _, other := range addresses {
				table.add(other, "", boottime.Now())
			}
			before, _ := table.Order(key)
			places[before] = true
			if before == 0 {
				firsts[address] = true
			}
		}
		if len(places) != len(addresses) {
			t.Fatalf("key %d: ranks %v", key, places)
		}
	}
	if len(firsts) < len(addresses)/2 {
		t.Errorf("only %v are first for any key", firsts)
	}
}

// Guards against requests of all recently started routers to a cold backend server. A
// router that does not know the others yet would take the whole limit as its own.
func TestStartingRouterLeavesColdServersToOthers(t *testing.T) {
	manager := NewManager(Options{Address: self, State: knowledge.NewState(), Logger: logrus.New()})
	manager.applyHeartbeat(newHeartbeat("10.0.0.2:1", 1, 1), boottime.Now())
	if manager.Settled() {
		t.Error("settled immediately after the start")
	}
	manager.started = boottime.Now().Add(-settlePeriod)
	if !manager.Settled() {
		t.Error("not settled although another router is reachable")
	}
	manager.expire(boottime.Now().Add(time.Minute))
	if manager.Settled() {
		t.Error("settled without reachable routers and without the directory")
	}
	manager.directoryRead.Store(true)
	if !manager.Settled() {
		t.Error("a single router never settles")
	}
}

func TestUnreachableAddressesAreForgotten(t *testing.T) {
	now := boottime.Now()
	table := newTable(self, "")
	if table.add(self, "", now) || !table.add("a", "", now) || table.add("a", "", now) {
		t.Error("wrong result of adding an address")
	}
	if got := len(table.targets(now)); got != 1 {
		t.Errorf("%d targets", got)
	}
	if got := len(table.targets(now.Add(2 * addressTTL))); got != 0 {
		t.Errorf("%d targets after a long time without heartbeats", got)
	}
}

// Guards against routers of a large fleet that take each other for lost and each use the
// whole fleet's budgets, because more routers exist than a round of heartbeats reaches
// and the timeout did not grow with them.
func TestRoutersOfALargeFleetStayReachable(t *testing.T) {
	const size = 350
	now := boottime.Now()
	table := newTable(self, "here")
	var targets []fleet.Address
	for i := range size {
		address := fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
		targets = append(targets, fleet.Address(address))
		table.applyHeartbeat(newHeartbeat(address, 1, 1), now)
	}
	reached := make(map[fleet.Address]int)
	turns := roundsPerCycle(size, maxRemoteHeartbeats)
	for round := range turns {
		chosen := targetsOfRound(targets, round, maxRemoteHeartbeats)
		if len(chosen) > maxRemoteHeartbeats {
			t.Fatalf("%d heartbeats in a round", len(chosen))
		}
		for _, address := range chosen {
			reached[address]++
		}
	}
	if len(reached) != size {
		t.Errorf("%d of %d routers had a turn", len(reached), size)
	}
	later := now.Add(time.Duration(2*turns) * heartbeatInterval)
	if lost := table.expire(later); len(lost) != 0 {
		t.Errorf("%d routers expired after two missed heartbeats", len(lost))
	}
}

// Guards against store calls that grow with the fleet because all routers watch the
// store, and against changes that nobody notices because the few that watch it have
// failed.
func TestSomeRoutersWatchTheStore(t *testing.T) {
	const fleetSize = 40
	tables := make([]*table, fleetSize)
	for i := range tables {
		tables[i] = newTable(fleet.Address(fmt.Sprintf("10.0.0.%d:1", i+1)), "")
	}
	now := boottime.Now()
	connect := func(alive []*table) (watching []*table) {
		for _, receiver := range alive {
			for address := range receiver.peers {
				delete(receiver.peers, address)
			}
			for _, sender := range alive {
				receiver.applyHeartbeat(newHeartbeat(string(sender.self), 1, int64(now)), now)
			}
			if receiver.WatchesStore() {
				watching = append(watching, receiver)
			}
		}
		return watching
	}
	for _, alone := range tables {
		if !alone.WatchesStore() {
			t.Fatal("a router without reachable peers does not watch the store")
		}
	}
	watching := connect(tables)
	if len(watching) != maxWatchers {
		t.Fatalf("%d of %d routers watch the store, want %d", len(watching), fleetSize, maxWatchers)
	}
	remaining := slices.DeleteFunc(slices.Clone(tables), func(t *table) bool { return slices.Contains(watching, t) })
	if next := connect(remaining); len(next) != maxWatchers {
		t.Errorf("%d routers watch the store after the loss of those that did, want %d", len(next), maxWatchers)
	}
}

// Guards against a directory that grows with each replaced VM because nobody removes the
// entries of routers that have ended.
func TestEntriesOfLostRoutersExpire(t *testing.T) {
	now := boottime.Now()
	table := newTable(self, "")
	table.applyHeartbeat(newHeartbeat("alive", 1, 1), now)
	entries := []fleet.Address{self, "alive", "gone"}
	if got := table.expiredEntries(entries, now); len(got) != 0 {
		t.Errorf("%v expired immediately", got)
	}
	if got := table.expiredEntries(entries, now.Add(directoryEntryTTL/2)); len(got) != 0 {
		t.Errorf("%v expired too early", got)
	}
	if got := table.expiredEntries(entries, now.Add(directoryEntryTTL+time.Second)); !slices.Equal(got, []fleet.Address{"gone"}) {
		t.Errorf("%v expired, want only the unreachable router", got)
	}
	table.applyHeartbeat(newHeartbeat("gone", 1, 1), now)
	if got := table.expiredEntries(entries, now.Add(2*directoryEntryTTL)); len(got) != 0 {
		t.Errorf("%v expired although it is reachable again", got)
	}
}

// fakeDirectory returns the listed routers and records registrations and removals.
type fakeDirectory struct {
	listed        map[fleet.Address]fleet.Zone
	registrations int
	removed       []fleet.Address
}

func (d *fakeDirectory) Register(context.Context, fleet.Address) error { d.registrations++; return nil }
func (d *fakeDirectory) Routers(context.Context) (map[fleet.Address]fleet.Zone, error) {
	return d.listed, nil
}
func (d *fakeDirectory) Remove(_ context.Context, address fleet.Address) error {
	d.removed = append(d.removed, address)
	return nil
}

// Guards against a router that new routers cannot find. Its entry is removed while it is
// unreachable for long, and it must register again.
func TestRouterWithoutEntryRegistersAgain(t *testing.T) {
	directory := &fakeDirectory{listed: map[fleet.Address]fleet.Zone{self: "z"}}
	manager := NewManager(Options{Address: self, Zone: "z", Directory: directory, State: knowledge.NewState(), Logger: logrus.New()})
	missing := manager.applyDirectory(t.Context(), directory.listed, 2)
	if missing != 0 {
		t.Errorf("%d missing lists counted for a listed router", missing)
	}
	for range registerAfterMissing {
		missing = manager.applyDirectory(t.Context(), nil, missing)
	}
	if missing < registerAfterMissing {
		t.Errorf("a router that is not listed does not register again after %d lists", missing)
	}
}

// Guards against two writes per router when a whole fleet restarts: a router that finds
// the entry of its VM's previous process keeps it, and any other registers once.
func TestRouterRegistersOnlyWhereItIsMissing(t *testing.T) {
	for zone, want := range map[fleet.Zone]int{"z": 0, "elsewhere": 1} {
		directory := &fakeDirectory{listed: map[fleet.Address]fleet.Zone{self: zone}}
		manager := NewManager(Options{Address: self, Zone: "z", Directory: directory, State: knowledge.NewState(), Logger: logrus.New()})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if err := manager.maintainRegistration(ctx); err != nil {
			t.Fatal(err)
		}
		if directory.registrations != want {
			t.Errorf("listed in %s: registered %d times, want %d", zone, directory.registrations, want)
		}
	}
}

// A router that has the same list receives only its age.
func TestPullOfTheSameListConfirmsIt(t *testing.T) {
	source, pulling := knowledge.NewState(), knowledge.NewState()
	backends := []knowledge.Backend{{ID: "i", Service: "s", Address: "10.0.0.1:1"}}
	now := boottime.Now()
	for _, state := range []*knowledge.State{source, pulling} {
		state.SetConfiguration(&knowledge.Configuration{Version: 1}, now)
	}
	source.SetBackends(backends, knowledge.Position{Revision: 7}, now)
	pulling.SetBackends(backends, knowledge.Position{Revision: 7}, now.Add(-time.Second))
	reply, err := (&server{state: source}).Pull(t.Context(), &peeringpb.PullRequest{Version: 1, Revision: 7})
	if err != nil || len(reply.Backends) != 0 {
		t.Fatalf("reply with %d bytes of backend servers, error %v", len(reply.Backends), err)
	}
	puller := newPuller(pulling, "", logrus.New())
	if err := puller.apply(reply, knowledge.Position{}, boottime.Now()); err != nil {
		t.Fatal(err)
	}
	if age := boottime.Now().Sub(pulling.View().ListConfirmedAt); age > 500*time.Millisecond {
		t.Errorf("the age of the list is %v", age)
	}
	reply, err = (&server{state: source}).Pull(t.Context(), &peeringpb.PullRequest{Version: 1, Revision: 6})
	if err != nil || len(reply.Backends) == 0 {
		t.Errorf("a router with another revision got no list, error %v", err)
	}
}

// A list is encoded once for all callers, and again after it has changed.
func TestListIsEncodedOnce(t *testing.T) {
	state := knowledge.NewState()
	server := &server{state: state}
	list := func(ids ...string) {
		var backends []knowledge.Backend
		for _, id := range ids {
			backends = append(backends, knowledge.Backend{ID: id, Service: "s", Address: "10.0.0.1:1"})
		}
		state.SetBackends(backends, knowledge.Position{Revision: state.View().Position.Revision + 1}, boottime.Now())
	}
	pull := func() []byte {
		reply, err := server.Pull(t.Context(), &peeringpb.PullRequest{})
		if err != nil {
			t.Fatal(err)
		}
		return reply.Backends
	}
	list("a")
	first := pull()
	if again := pull(); &again[0] != &first[0] {
		t.Error("the list is encoded again for each caller")
	}
	list("a", "b")
	if changed := pull(); len(changed) <= len(first) {
		t.Errorf("list %s after a change", changed)
	}
}

// Guards against a fleet that is not ready for many seconds after it was killed. All
// routers call the store at the same time and it rejects most calls, so some get only the
// configuration and others only the list; both must pass on what they have.
func TestPullReturnsPartialState(t *testing.T) {
	configured, listed, pulling := knowledge.NewState(), knowledge.NewState(), knowledge.NewState()
	now := boottime.Now()
	configured.SetConfiguration(&knowledge.Configuration{Version: 4}, now)
	listed.SetBackends([]knowledge.Backend{{ID: "i", Service: "s", Address: "10.0.0.1:1"}}, knowledge.Position{Revision: 7}, now)
	puller := newPuller(pulling, "", logrus.New())
	for _, source := range []*knowledge.State{configured, listed} {
		reply, err := (&server{state: source}).Pull(t.Context(), &peeringpb.PullRequest{})
		if err != nil {
			t.Fatal(err)
		}
		if err := puller.apply(reply, knowledge.Position{}, boottime.Now()); err != nil {
			t.Fatal(err)
		}
	}
	view := pulling.View()
	if !view.Ready() || view.Version() != 4 || len(view.Backends) != 1 || view.ListConfirmedAt > boottime.Now() {
		t.Errorf("version %d, %d backend servers, listed %v", view.Version(), len(view.Backends), view.ListConfirmedAt)
	}
	if _, err := (&server{state: knowledge.NewState()}).Pull(t.Context(), &peeringpb.PullRequest{}); err == nil {
		t.Error("a router without state returned a reply")
	}
}

// Guards against bytes and work that grow with routers, backend servers and changes
// multiplied: a router that is one change behind with a long list pulls only the change.
func TestChangeOfALongListIsPulledAsDelta(t *testing.T) {
	const servers, maxReplyBytes = 3000, 2000 // bytes
	now := boottime.Now()
	source, pulling := knowledge.NewState(), knowledge.NewState()
	backends := make([]knowledge.Backend, servers)
	for i := range backends {
		backends[i] = knowledge.Backend{ID: fmt.Sprint("i-", i), Service: "s", Address: "10.0.0.1:1"}
	}
	for _, state := range []*knowledge.State{source, pulling} {
		state.SetConfiguration(&knowledge.Configuration{Version: 1}, now)
		state.SetBackends(slices.Clone(backends), knowledge.Position{Revision: 5}, now)
	}
	at := knowledge.Position{Revision: 8}
	draining := backends[7]
	draining.Draining, draining.Position = true, at
	source.ApplyBackendChanges([]knowledge.BackendChange{{ID: draining.ID, Entry: &draining}, {ID: "i-9"}}, at)
	heartbeat := &peeringpb.Beat{Version: 1, Revision: at.Revision, Digest: source.View().Digest}
	if !hasNewerList(pulling.View(), heartbeat) {
		t.Fatal("the list of the source does not count as newer")
	}
	puller := newQuietPuller(pulling)
	reply := pullOnce(t, puller, source)
	if size := proto.Size(reply); size > maxReplyBytes || len(reply.Backends) > 0 {
		t.Errorf("one change of %d backend servers takes %d bytes, want at most %d", servers, size, maxReplyBytes)
	}
	view := pulling.View()
	if view.Digest != source.View().Digest || view.Position != at || !view.Backends["i-7"].Draining || view.Backends["i-9"] != nil {
		t.Errorf("%d backend servers at %v after the change", len(view.Backends), view.Position)
	}
}

// pullOnce pulls the fleet state of a source as puller.pull does.
func pullOnce(t *testing.T, puller *puller, source *knowledge.State) *peeringpb.PullReply {
	t.Helper()
	view := puller.state.View()
	known := puller.knownPosition(view)
	reply, err := (&server{state: source}).Pull(t.Context(), &peeringpb.PullRequest{
		Version: view.Version(), Era: known.Era, Revision: known.Revision, AcceptsChanges: true,
	})
	if err == nil {
		err = puller.apply(reply, known, boottime.Now())
	}
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

// Guards against a list that stays wrong. If changes do not lead to the list of the
// router that sent them, the next one is pulled in full.
func TestDivergedListIsPulledInFull(t *testing.T) {
	now := boottime.Now()
	entry := func(id string) knowledge.Backend {
		return knowledge.Backend{ID: id, Service: "s", Address: "10.0.0.1:1"}
	}
	source, pulling := knowledge.NewState(), knowledge.NewState()
	source.SetBackends([]knowledge.Backend{entry("a"), entry("b")}, knowledge.Position{Revision: 5}, now)
	pulling.SetBackends([]knowledge.Backend{entry("a")}, knowledge.Position{Revision: 5}, now)
	puller := newQuietPuller(pulling)
	for revision := uint64(6); revision <= 7; revision++ {
		source.ApplyBackendChanges([]knowledge.BackendChange{{ID: fmt.Sprint("gone-", revision)}}, knowledge.Position{Revision: revision})
		pullOnce(t, puller, source)
	}
	if view := pulling.View(); view.Digest != source.View().Digest || puller.needsFullList.Load() {
		t.Errorf("%d backend servers after the pulls, want 2", len(view.Backends))
	}
}

// Guards against a router without backend servers. When another router, which may run a
// different version of the program, sends a list with entries that can't be decoded or
// lack fields, the rest of the list must be kept.
func TestInvalidEntryDoesNotDiscardTheOthers(t *testing.T) {
	state := knowledge.NewState()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	puller := newPuller(state, "", logger)
	list := `[{"ID":7},{"ID":"b"},"text",null,{"ID":"i","Service":"s","Address":"10.0.0.1:1"}]`
	if err := puller.apply(&peeringpb.PullReply{Backends: []byte(list), Revision: 3}, knowledge.Position{}, boottime.Now()); err != nil {
		t.Fatal(err)
	}
	if view := state.View(); len(view.Backends) != 1 || view.Backends["i"] == nil {
		t.Errorf("backend servers: %v, want only i", view.Backends)
	}
}

// Guards against a router that is ignored for minutes because it has started again after its
// clock was set back, so that its process seems to be an earlier one.
func TestRouterThatStartsAgainWithAnEarlierClockIsHeard(t *testing.T) {
	table := newTable(self, "z")
	const other = "10.0.0.2:1"
	now := boottime.Now()
	for _, step := range []struct {
		incarnation uint64
		after       time.Duration
		accepted    bool
	}{
		{incarnation: 20, after: 0, accepted: true},
		{incarnation: 10, after: 100 * time.Millisecond, accepted: false}, // late, of the process before
		{incarnation: 20, after: 200 * time.Millisecond, accepted: true},
		{incarnation: 10, after: 2 * minPeerTimeout, accepted: true},
		{incarnation: 10, after: 2*minPeerTimeout + 100*time.Millisecond, accepted: true},
	} {
		at := now.Add(step.after)
		table.expire(at)
		accepted, _ := table.applyHeartbeat(newHeartbeat(other, step.incarnation, int64(at)), at)
		if accepted != step.accepted {
			t.Errorf("incarnation %d after %v: accepted %v", step.incarnation, step.after, accepted)
		}
	}
}
