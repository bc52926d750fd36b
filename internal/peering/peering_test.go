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

// loadAt is a load at one backend server.
type loadAt struct {
	backend uint32
	load    gate.BackendLoad
}

func beatOf(address string, incarnation uint64, clock int64, loads ...loadAt) *peeringpb.Beat {
	byBackend := make(map[uint32]gate.BackendLoad)
	for _, at := range loads {
		byBackend[at.backend] = at.load
	}
	return &peeringpb.Beat{Address: address, Incarnation: incarnation, Clock: clock, Loads: encodeLoads(byBackend)}
}

func echoOf(clock int64) *peeringpb.Echoes {
	return &peeringpb.Echoes{Router: []uint64{hashOf("other"), hashOf(self)}, Clock: []int64{clock + 1, clock}}
}

func loadOf(id string, running int, pending float64) loadAt {
	return loadAt{backend: knowledge.IncarnationHash(id), load: gate.BackendLoad{Running: running, Pending: pending}}
}

// Whatever is told arrives, rounded up by less than a unit.
func TestLoadsAndUsesArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := make(map[uint32]gate.BackendLoad)
		uses := make(map[fleet.Account]shares.Usage)
		for range rapid.IntRange(0, 9).Draw(t, "count") {
			loads[rapid.Uint32().Draw(t, "backend")] = gate.BackendLoad{
				Running: rapid.IntRange(0, 1000).Draw(t, "running"),
				Pending: rapid.Float64Range(0, 1e6).Draw(t, "pending"),
				Memory:  rapid.Float64Range(0, 1e6).Draw(t, "memory"),
			}
			account := fleet.Account(rapid.StringMatching("[a-z]{1,6}").Draw(t, "account"))
			uses[account] = shares.Usage{Requested: rapid.Float64Range(0, 1e7).Draw(t, "asked"), Granted: rapid.Float64Range(0, 1e7).Draw(t, "got"), Idle: rapid.Float64Range(0, 1e7).Draw(t, "idle")}
		}
		arrived := decodeLoads(encodeLoads(loads))
		for backend, load := range loads {
			got := arrived[backend]
			if got.Running != load.Running || got.Pending < load.Pending || got.Pending-load.Pending > loadUnit || got.Memory < load.Memory {
				t.Fatalf("%+v arrives as %+v", load, got)
			}
		}
		for account, use := range uses {
			if got := decodeUses(encodeUses(uses))[account]; use.Requested-got.Requested >= 1 || use.Granted-got.Granted >= 1 || use.Idle-got.Idle >= 1 {
				t.Fatalf("%+v arrives as %+v", use, got)
			}
		}
	})
}

// Symptom: a router ends by itself.
// Events: a datagram of another version, or of somebody else, has lists of
// different lengths.
// Cause: an index beyond one of them.
func TestListsOfDifferentLengthsAreCut(t *testing.T) {
	loads := decodeLoads(&peeringpb.Loads{Backend: []uint32{1, 2}, Running: []uint32{1}, Pending: []uint32{1, 1}, Memory: []uint32{1}})
	uses := decodeUses(&peeringpb.AccountUses{Account: []string{"a", "b"}, Asked: []uint64{1, 2}})
	beat := &peeringpb.Beat{Echoes: &peeringpb.Echoes{Router: []uint64{hashOf(self)}}}
	if len(loads) != 1 || len(uses) != 0 || echoIn(beat, self) != 0 {
		t.Errorf("%v, %v, echo %d", loads, uses, echoIn(beat, self))
	}
}

// Bytes of a beat among 24 routers with 45 backend servers and 16 accounts: 1,564
// with a message for each load, use and echo and 64-bit names of backend servers,
// 827 with packed lists. What this router has seen of 43 engines, which one beat in five
// carries, makes 845 into 1,378, and five slowed ones add 44.
func BenchmarkBeatBytes(b *testing.B) {
	loads := make(map[uint32]gate.BackendLoad)
	uses := make(map[fleet.Account]shares.Usage)
	echoes := &peeringpb.Echoes{}
	for i := range 45 {
		loads[knowledge.IncarnationHash(fmt.Sprint("i-", i))] = gate.BackendLoad{Running: 3, Pending: 5000, Memory: 30_000}
	}
	for i := range 16 {
		uses[fleet.Account(fmt.Sprint("acct", i))] = shares.Usage{Requested: 40_000, Granted: 20_000}
	}
	for i := range 10 {
		echoes.Router, echoes.Clock = append(echoes.Router, uint64(i)<<40), append(echoes.Clock, int64(boottime.Now()))
	}
	for _, tell := range []struct {
		name        string
		slowed, due bool
	}{{"no paces", false, false}, {"paces", false, true}, {"slowed", true, false}, {"paces and slowed", true, true}} {
		b.Run(tell.name, func(b *testing.B) {
			now := boottime.Now()
			seen := make(map[uint32]pace.Observation)
			if tell.due || tell.slowed {
				seen = enginePaces(43, tell.slowed, now)
			}
			own := ownPaces(seen, now)
			size := 0
			for b.Loop() {
				beat := &peeringpb.Beat{Address: self, Incarnation: 1 << 60, Clock: int64(now), Version: 7, Digest: 1 << 60,
					Echoes: echoes, Uses: encodeUses(uses), Loads: encodeLoads(loads)}
				beat.Paces, beat.Slowed = own.carry(tell.due, now)
				data, err := proto.Marshal(beat)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// enginePaces are what a router has seen of so many engines, of which a tenth is in a slow
// phase if some are slowed.
func enginePaces(engines int, slowed bool, now boottime.Instant) map[uint32]pace.Observation {
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
	table.take(beatOf("a", 1, 1, loadOf("i", 3, 96)), now)
	table.take(beatOf("b", 1, 1, loadOf("i", 2, 48)), now)
	if got := table.Load(knowledge.IncarnationHash("i")); got.Running != 5 || got.Pending != 144 {
		t.Errorf("%+v of two routers", got)
	}
	table.take(beatOf("a", 1, 2, loadOf("j", 1, 1)), now)
	if got := table.Load(knowledge.IncarnationHash("i")); got.Running != 2 || got.Pending != 48 {
		t.Errorf("%+v after one has none", got)
	}
}

func TestLateBeatIsIgnored(t *testing.T) {
	now := boottime.Now()
	table := newTable(self, "")
	table.take(beatOf("a", 2, 10, loadOf("i", 3, 0)), now)
	for _, late := range []*peeringpb.Beat{beatOf("a", 2, 9), beatOf("a", 1, 99), beatOf(self, 1, 1)} {
		if taken, _ := table.take(late, now); taken {
			t.Errorf("%v was taken", late)
		}
	}
	if got := table.Load(knowledge.IncarnationHash("i")).Running; got != 3 {
		t.Errorf("%d running", got)
	}
}

// Symptom: requests avoid backend servers that are idle.
// Events: a router is killed while its requests run.
// Cause: its last beat counted for good.
func TestLostRoutersLoadsGo(t *testing.T) {
	now := boottime.Now()
	table := newTable(self, "")
	table.take(beatOf("a", 1, 1, loadOf("i", 3, 100)), now)
	if lost := table.expire(now.Add(heardLife / 2)); len(lost) != 0 {
		t.Fatalf("lost too early: %v", lost)
	}
	if lost := table.expire(now.Add(heardLife)); len(lost) != 1 {
		t.Fatalf("lost: %v", lost)
	}
	if got := table.Load(knowledge.IncarnationHash("i")); got.Running != 0 {
		t.Errorf("%+v is left of it", got)
	}
}

// Symptom: the fleet sends more second sends than its budget allows.
// Events: routers are cut off from each other.
// Cause: each took itself for the only one and the whole budget for its own.
func TestRoutersThatAreCutOffStillCount(t *testing.T) {
	now := boottime.Now()
	table := newTable(self, "")
	for _, address := range []string{"a", "b", "c"} {
		table.take(beatOf(address, 1, 1), now)
	}
	table.expire(now.Add(2 * heardLife))
	if got := table.Routers(); got != 4 {
		t.Errorf("%d routers, want 4", got)
	}
	table.expire(now.Add(2 * countLife))
	if got := table.Routers(); got != 1 {
		t.Errorf("%d routers long after the others went, want 1", got)
	}
}

// Symptom: a withdrawn key is taken.
// Events: a process stands still for seconds; beats wait in its socket; it goes
// on and reads them.
// Cause: their ages counted from when they were read, not from when they were
// sent.
func TestBeatThatWaitedConfirmsNothingNew(t *testing.T) {
	state := knowledge.NewState()
	old := boottime.Now().Add(-time.Minute)
	state.SetConfiguration(&knowledge.Configuration{Version: 3}, old)
	manager := &Manager{options: Options{Address: self, State: state}, started: old}
	now := boottime.Now()
	echo := now.Add(-10 * time.Second) // our clock when the peer last heard us
	manager.confirm(&peeringpb.Beat{Echoes: echoOf(int64(echo)), Version: 3, ConfigAge: int64(time.Second), ListAge: -1}, now)
	if got, want := state.View().ConfigurationConfirmedAt, echo.Add(-time.Second); got != want {
		t.Errorf("confirmed %v ago, want %v", now.Sub(got), now.Sub(want))
	}
	before := state.View().ConfigurationConfirmedAt
	for _, beat := range []*peeringpb.Beat{
		{Echoes: echoOf(0), Version: 3, ConfigAge: 0, ListAge: -1},
		{Echoes: echoOf(int64(now.Add(time.Hour))), Version: 3, ConfigAge: 0, ListAge: -1},
		{Echoes: echoOf(int64(old.Add(-time.Hour))), Version: 3, ConfigAge: 0, ListAge: -1},
		{Echoes: echoOf(int64(now)), Version: 2, ConfigAge: 0, ListAge: -1},
		{Echoes: echoOf(int64(now)), Version: 3, ConfigAge: -1, ListAge: -1},
	} {
		manager.confirm(beat, now)
		if got := state.View().ConfigurationConfirmedAt; got != before {
			t.Errorf("%v confirmed the configuration", beat)
		}
	}
}

// Symptom: a cold backend server gets what two fleets may send.
// Events: a fleet is cut in two; each half hears only its own routers.
// Cause: routers that were no longer heard did not count.
func TestSilentRoutersKeepTheirPartOfColdServers(t *testing.T) {
	table := newTable(self, "")
	now := boottime.Now()
	for i := range 9 {
		table.take(beatOf(fmt.Sprintf("10.0.1.%d:1", i), 1, 1), now)
	}
	before, known := table.Order(77)
	table.expire(now.Add(time.Minute))
	if after, left := table.Order(77); known != 10 || left != known || after != before {
		t.Errorf("place %d of %d, then %d of %d", before, known, after, left)
	}
}

// Each of the routers has another place in the order of a backend server, and the first
// ones differ from server to server.
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
			t.Fatalf("key %d: places %v", key, places)
		}
	}
	if len(firsts) < len(addresses)/2 {
		t.Errorf("only %v are ever first", firsts)
	}
}

// Symptom: a cold backend server gets requests of all routers that have just started.
// Events: a router starts and knows nobody yet, so all of the bound seems its own.
// Cause: it did not wait until it had heard of the others.
func TestStartingRouterLeavesColdServersToOthers(t *testing.T) {
	manager := NewManager(Options{Address: self, State: knowledge.NewState(), Logger: logrus.New()})
	manager.take(beatOf("10.0.0.2:1", 1, 1), boottime.Now())
	if manager.Settled() {
		t.Error("settled at its start")
	}
	manager.started = boottime.Now().Add(-settleTime)
	if !manager.Settled() {
		t.Error("not settled though it hears another router")
	}
	manager.expire(boottime.Now().Add(time.Minute))
	if manager.Settled() {
		t.Error("settled though it hears nobody and has not seen the directory")
	}
	manager.looked.Store(true)
	if !manager.Settled() {
		t.Error("a single router never settles")
	}
}

func TestSilentAddressesAreForgotten(t *testing.T) {
	now := boottime.Now()
	table := newTable(self, "")
	if table.add(self, "", now) || !table.add("a", "", now) || table.add("a", "", now) {
		t.Error("addresses are added wrongly")
	}
	if got := len(table.targets(now)); got != 1 {
		t.Errorf("%d targets", got)
	}
	if got := len(table.targets(now.Add(2 * addressLife))); got != 0 {
		t.Errorf("%d targets after a long silence", got)
	}
}

// Symptom: in a large fleet routers take each other for lost, and each uses the
// whole fleet's budgets.
// Events: there are more routers than a round of beats reaches.
// Cause: a router counted as heard for a fixed time.
func TestRoutersOfALargeFleetAreHeard(t *testing.T) {
	const size = 350
	now := boottime.Now()
	table := newTable(self, "here")
	var targets []fleet.Address
	for i := range size {
		address := fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
		targets = append(targets, fleet.Address(address))
		table.take(beatOf(address, 1, 1), now)
	}
	reached := make(map[fleet.Address]int)
	turns := rounds(size, farBeats)
	for round := range turns {
		chosen := turn(targets, round, farBeats)
		if len(chosen) > farBeats {
			t.Fatalf("%d beats in a round", len(chosen))
		}
		for _, address := range chosen {
			reached[address]++
		}
	}
	if len(reached) != size {
		t.Errorf("%d of %d routers had a turn", len(reached), size)
	}
	later := now.Add(time.Duration(2*turns) * beatInterval)
	if lost := table.expire(later); len(lost) != 0 {
		t.Errorf("%d routers are lost after two missed beats", len(lost))
	}
}

// Symptom: the store's calls grow with the fleet, or nobody hears of changes.
// Events: a large fleet; those that follow the store are lost.
// Cause: every router followed it, or a fixed few did.
func TestSomeRoutersFollowTheStore(t *testing.T) {
	const fleetSize = 40
	tables := make([]*table, fleetSize)
	for i := range tables {
		tables[i] = newTable(fleet.Address(fmt.Sprintf("10.0.0.%d:1", i+1)), "")
	}
	now := boottime.Now()
	hear := func(alive []*table) (following []*table) {
		for _, hearing := range alive {
			for address := range hearing.peers {
				delete(hearing.peers, address)
			}
			for _, told := range alive {
				hearing.take(beatOf(string(told.self), 1, int64(now)), now)
			}
			if hearing.WatchesStore() {
				following = append(following, hearing)
			}
		}
		return following
	}
	for _, alone := range tables {
		if !alone.WatchesStore() {
			t.Fatal("a router that hears nobody does not follow")
		}
	}
	following := hear(tables)
	if len(following) != followersMost {
		t.Fatalf("%d of %d routers follow, want %d", len(following), fleetSize, followersMost)
	}
	left := slices.DeleteFunc(slices.Clone(tables), func(t *table) bool { return slices.Contains(following, t) })
	if next := hear(left); len(next) != followersMost {
		t.Errorf("%d follow after the loss of those that did, want %d", len(next), followersMost)
	}
}

// Symptom: the directory grows with each VM that is replaced.
// Events: routers end for good.
// Cause: nobody removed their entries.
func TestEntriesOfRoutersThatAreGone(t *testing.T) {
	now := boottime.Now()
	table := newTable(self, "")
	table.take(beatOf("alive", 1, 1), now)
	entries := []fleet.Address{self, "alive", "gone"}
	if got := table.gone(entries, now); len(got) != 0 {
		t.Errorf("%v may go at once", got)
	}
	if got := table.gone(entries, now.Add(entryLife/2)); len(got) != 0 {
		t.Errorf("%v may go early", got)
	}
	if got := table.gone(entries, now.Add(entryLife+time.Second)); !slices.Equal(got, []fleet.Address{"gone"}) {
		t.Errorf("%v may go, want the one that is gone", got)
	}
	table.take(beatOf("gone", 1, 1), now)
	if got := table.gone(entries, now.Add(2*entryLife)); len(got) != 0 {
		t.Errorf("%v may go though it is heard again", got)
	}
}

// fakeDirectory lists what it is told.
type fakeDirectory struct {
	listed    map[fleet.Address]fleet.Zone
	announced int
	removed   []fleet.Address
}

func (d *fakeDirectory) Register(context.Context, fleet.Address) error { d.announced++; return nil }
func (d *fakeDirectory) Routers(context.Context) (map[fleet.Address]fleet.Zone, error) {
	return d.listed, nil
}
func (d *fakeDirectory) Remove(_ context.Context, address fleet.Address) error {
	d.removed = append(d.removed, address)
	return nil
}

// Symptom: a router stays unknown to new ones.
// Events: it is cut off for so long that its entry is removed, and comes back.
// Cause: it registered only once.
func TestRouterWithoutEntryRegistersAgain(t *testing.T) {
	directory := &fakeDirectory{listed: map[fleet.Address]fleet.Zone{self: "z"}}
	manager := NewManager(Options{Address: self, Zone: "z", Directory: directory, State: knowledge.NewState(), Logger: logrus.New()})
	missing := manager.takeDirectory(t.Context(), directory.listed, 2)
	if missing != 0 {
		t.Errorf("%d lists lack a router that is listed", missing)
	}
	for range announceAfter {
		missing = manager.takeDirectory(t.Context(), nil, missing)
	}
	if missing < announceAfter {
		t.Errorf("a router that is not listed does not register again after %d lists", missing)
	}
}

// Guards against two writes for each router when a whole fleet starts again: one that
// finds the entry of its VM's last process leaves it as it is, another registers.
func TestRouterRegistersOnlyWhereItIsMissing(t *testing.T) {
	for zone, want := range map[fleet.Zone]int{"z": 0, "elsewhere": 1} {
		directory := &fakeDirectory{listed: map[fleet.Address]fleet.Zone{self: zone}}
		manager := NewManager(Options{Address: self, Zone: "z", Directory: directory, State: knowledge.NewState(), Logger: logrus.New()})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if err := manager.register(ctx); err != nil {
			t.Fatal(err)
		}
		if directory.announced != want {
			t.Errorf("listed in %s: registered %d times, want %d", zone, directory.announced, want)
		}
	}
}

// A router that has the same list is told its age alone.
func TestPullOfTheSameListConfirmsIt(t *testing.T) {
	told, asking := knowledge.NewState(), knowledge.NewState()
	backends := []knowledge.Backend{{ID: "i", Service: "s", Address: "10.0.0.1:1"}}
	now := boottime.Now()
	for _, state := range []*knowledge.State{told, asking} {
		state.SetConfiguration(&knowledge.Configuration{Version: 1}, now)
	}
	told.SetBackends(backends, knowledge.Position{Revision: 7}, now)
	asking.SetBackends(backends, knowledge.Position{Revision: 7}, now.Add(-time.Second))
	reply, err := (&server{state: told}).Pull(t.Context(), &peeringpb.PullRequest{Version: 1, Revision: 7})
	if err != nil || len(reply.Backends) != 0 {
		t.Fatalf("reply with %d bytes of backend servers, error %v", len(reply.Backends), err)
	}
	puller := newPuller(asking, "", logrus.New())
	if err := puller.apply(reply, knowledge.Position{}, boottime.Now()); err != nil {
		t.Fatal(err)
	}
	if age := boottime.Now().Sub(asking.View().ListConfirmedAt); age > 500*time.Millisecond {
		t.Errorf("the list counts as %v old", age)
	}
	reply, err = (&server{state: told}).Pull(t.Context(), &peeringpb.PullRequest{Version: 1, Revision: 6})
	if err != nil || len(reply.Backends) == 0 {
		t.Errorf("a router with another revision got no list, error %v", err)
	}
}

// A list is encoded once for all that ask for it, and anew when it has changed.
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
		t.Error("the list is encoded for each that asks")
	}
	list("a", "b")
	if changed := pull(); len(changed) <= len(first) {
		t.Errorf("%s after a change", changed)
	}
}

// Symptom: a fleet that was killed is not ready for many seconds.
// Events: all routers call the store at once, and it turns most calls away; some get
// the configuration, others the list of backend servers.
// Cause: only a router that had both told anything.
func TestRouterTellsWhatItKnowsSoFar(t *testing.T) {
	configured, listed, asking := knowledge.NewState(), knowledge.NewState(), knowledge.NewState()
	now := boottime.Now()
	configured.SetConfiguration(&knowledge.Configuration{Version: 4}, now)
	listed.SetBackends([]knowledge.Backend{{ID: "i", Service: "s", Address: "10.0.0.1:1"}}, knowledge.Position{Revision: 7}, now)
	puller := newPuller(asking, "", logrus.New())
	for _, told := range []*knowledge.State{configured, listed} {
		reply, err := (&server{state: told}).Pull(t.Context(), &peeringpb.PullRequest{})
		if err != nil {
			t.Fatal(err)
		}
		if err := puller.apply(reply, knowledge.Position{}, boottime.Now()); err != nil {
			t.Fatal(err)
		}
	}
	view := asking.View()
	if !view.Ready() || view.Version() != 4 || len(view.Backends) != 1 || view.ListConfirmedAt > boottime.Now() {
		t.Errorf("version %d, %d backend servers, listed %v", view.Version(), len(view.Backends), view.ListConfirmedAt)
	}
	if _, err := (&server{state: knowledge.NewState()}).Pull(t.Context(), &peeringpb.PullRequest{}); err == nil {
		t.Error("a router that knows nothing answers")
	}
}

// Guards against bytes and work that grow with routers times backend servers times changes:
// a router that is a change behind with a long list takes the change alone.
func TestChangeOfALongListIsTakenAlone(t *testing.T) {
	const servers, changeMost = 3000, 2000 // bytes of a reply
	now := boottime.Now()
	told, asking := knowledge.NewState(), knowledge.NewState()
	backends := make([]knowledge.Backend, servers)
	for i := range backends {
		backends[i] = knowledge.Backend{ID: fmt.Sprint("i-", i), Service: "s", Address: "10.0.0.1:1"}
	}
	for _, state := range []*knowledge.State{told, asking} {
		state.SetConfiguration(&knowledge.Configuration{Version: 1}, now)
		state.SetBackends(slices.Clone(backends), knowledge.Position{Revision: 5}, now)
	}
	at := knowledge.Position{Revision: 8}
	leaves := backends[7]
	leaves.Draining, leaves.Position = true, at
	told.ApplyBackendChanges([]knowledge.BackendChange{{ID: leaves.ID, Entry: &leaves}, {ID: "i-9"}}, at)
	beat := &peeringpb.Beat{Version: 1, Revision: at.Revision, Digest: told.View().Digest}
	if !newerList(asking.View(), beat) {
		t.Fatal("a router is not behind")
	}
	puller := quietPuller(asking)
	reply := pullInto(t, puller, told)
	if size := proto.Size(reply); size > changeMost || len(reply.Backends) > 0 {
		t.Errorf("one change of %d backend servers takes %d bytes, want %d at most", servers, size, changeMost)
	}
	view := asking.View()
	if view.Digest != told.View().Digest || view.Position != at || !view.Backends["i-7"].Draining || view.Backends["i-9"] != nil {
		t.Errorf("%d backend servers at %v after the change", len(view.Backends), view.Position)
	}
}

// pullInto lets a router take what another knows, as pull does.
func pullInto(t *testing.T, puller *puller, told *knowledge.State) *peeringpb.PullReply {
	t.Helper()
	view := puller.state.View()
	known := puller.known(view)
	reply, err := (&server{state: told}).Pull(t.Context(), &peeringpb.PullRequest{
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

// Guards against a list that stays wrong: where changes did not lead to the list of the
// router that told them, the next one is taken whole.
func TestListThatDriftedIsTakenWhole(t *testing.T) {
	now := boottime.Now()
	entry := func(id string) knowledge.Backend {
		return knowledge.Backend{ID: id, Service: "s", Address: "10.0.0.1:1"}
	}
	told, asking := knowledge.NewState(), knowledge.NewState()
	told.SetBackends([]knowledge.Backend{entry("a"), entry("b")}, knowledge.Position{Revision: 5}, now)
	asking.SetBackends([]knowledge.Backend{entry("a")}, knowledge.Position{Revision: 5}, now)
	puller := quietPuller(asking)
	for revision := uint64(6); revision <= 7; revision++ {
		told.ApplyBackendChanges([]knowledge.BackendChange{{ID: fmt.Sprint("gone-", revision)}}, knowledge.Position{Revision: revision})
		pullInto(t, puller, told)
	}
	if view := asking.View(); view.Digest != told.View().Digest || puller.whole.Load() {
		t.Errorf("%d backend servers are known, want 2", len(view.Backends))
	}
}

// Symptom: a router that the store does not reach has no backend server.
// Events: a router of another version hands on a list with one entry that this
// one can't read, and others that name nothing.
// Cause: the list was given up at the first entry that could not be decoded.
func TestSpoiledEntryOfARouterLeavesTheOthers(t *testing.T) {
	state := knowledge.NewState()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	puller := newPuller(state, "", logger)
	list := `[{"ID":7},{"ID":"b"},"text",null,{"ID":"i","Service":"s","Address":"10.0.0.1:1"}]`
	if err := puller.apply(&peeringpb.PullReply{Backends: []byte(list), Revision: 3}, knowledge.Position{}, boottime.Now()); err != nil {
		t.Fatal(err)
	}
	if view := state.View(); len(view.Backends) != 1 || view.Backends["i"] == nil {
		t.Errorf("known: %v", view.Backends)
	}
}
