package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/platform"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// worldHarness steps a single World directly.
type worldHarness struct {
	world   *World
	replica *fakeReplica
	now     time.Time
}

func newWorldHarness(seeds ...fleet.Address) *worldHarness {
	self := fleet.Node{VM: "vm-0", Control: "10.0.0.0:1", Zone: "zone-0", Incarnation: 1}
	replica, directory := &fakeReplica{}, membership.NewDirectory()
	return &worldHarness{replica: replica, now: time.Unix(1000, 0), world: NewWorld(Config{Self: self, Seeds: seeds}, Dependencies{
		Envelopes: NewEnvelopeSource(self, replica, directory), Tracker: membership.NewTracker(directory),
		Directory: directory, Settings: replica,
	})}
}

func (d *worldHarness) step(after time.Duration, events ...Event) []Command {
	d.now = d.now.Add(after)
	commands, _ := d.world.Step(d.now, events)
	return commands
}

// commandsOf returns the commands of one kind.
func commandsOf[C Command](commands []Command) []C {
	return lo.FilterMap(commands, func(command Command, _ int) (C, bool) {
		wanted, ok := command.(C)
		return wanted, ok
	})
}

var loadedEvents = []Event{LoadEnded{Document: DocumentSettings, Version: 5}, LoadEnded{Document: DocumentMembers, Version: 5}}

func answer(peer fleet.Address, revision uint64, settings []byte) SyncEnded {
	envelope := &rpc.Envelope{Sender: string(peer), Incarnation: 1, SettingsRevision: revision}
	return SyncEnded{To: peer, Reply: &rpc.SyncReply{Envelope: envelope, Settings: settings}}
}

// TestJoinWaitsForPeers guards against a restarted node that acts on an old
// revision from the platform while its peers have a higher one. The peers
// answer later, one of them without the delta, and the node is paused in
// between.
func TestJoinWaitsForPeers(t *testing.T) {
	harness := newWorldHarness("10.0.0.1:1", "10.0.0.2:1")
	if asked := commandsOf[Sync](harness.step(0)); len(asked) != 2 {
		t.Fatalf("asked %v", asked)
	}
	harness.replica.content = []byte("a")
	notYet := func(what string, commands []Command) []Command {
		t.Helper()
		if len(commandsOf[Joined](commands)) > 0 {
			t.Fatalf("joined after %s", what)
		}
		return commands
	}
	notYet("the platform alone", harness.step(time.Millisecond, loadedEvents...))
	notYet("one of two answers", harness.step(time.Millisecond, answer("10.0.0.1:1", 1, nil)))
	notYet("a pause", harness.step(time.Hour))
	commands := notYet("a claim without its delta", harness.step(time.Millisecond, answer("10.0.0.2:1", 2, nil)))
	pulls := commandsOf[Sync](commands)
	if len(pulls) != 1 || pulls[0].Reason != ReasonPull || pulls[0].To != "10.0.0.2:1" {
		t.Fatalf("the claim led to %v", commands)
	}
	delta := (&fakeReplica{content: []byte("ab")}).Delta(1)
	commands = harness.step(time.Millisecond, answer("10.0.0.2:1", 2, delta))
	if len(commandsOf[Joined](commands)) != 1 || harness.replica.Revision() != 2 {
		t.Fatalf("at revision %d: %v", harness.replica.Revision(), commands)
	}
}

// interruptedReplica calls interrupt once, when its revision is first read.
type interruptedReplica struct {
	*fakeReplica
	interrupt func()
}

func (r *interruptedReplica) Revision() uint64 {
	if interrupt := r.interrupt; interrupt != nil {
		r.interrupt = nil
		interrupt()
	}
	return r.fakeReplica.Revision()
}

// TestListLoadedDuringStepReachesView guards against a view that permanently
// lacks the nodes of a list that was applied in the middle of a step, after the
// view was refreshed and before the new revision was reported.
func TestListLoadedDuringStepReachesView(t *testing.T) {
	store := platform.NewStore(platform.StoreOptions{})
	self := fleet.Node{VM: "vm-0", Control: "10.0.0.0:1", Zone: "zone-0", Incarnation: 1}
	if _, err := membership.Register(t.Context(), store, membership.Record{Node: self}); err != nil {
		t.Fatal(err)
	}
	replica, directory := &fakeReplica{}, membership.NewDirectory()
	tracker := membership.NewTracker(directory)
	var version platform.Version
	world := NewWorld(Config{Self: self}, Dependencies{
		Envelopes: NewEnvelopeSource(self, replica, directory), Tracker: tracker, Directory: directory,
		Settings: &interruptedReplica{fakeReplica: replica, interrupt: func() {
			if nodes := tracker.View().Nodes; len(nodes) != 0 {
				t.Errorf("nodes before the load: %v", nodes)
			}
			var err error
			if version, err = directory.Load(t.Context(), store); err != nil {
				t.Error(err)
			}
		}},
	})
	now := time.Unix(1000, 0)
	commands, _ := world.Step(now, nil)
	reported := commandsOf[RevisionAdvanced](commands)
	if len(reported) != 1 || reported[0].Document != DocumentMembers {
		t.Fatalf("the load did not fall between the refresh and the report: %v", reported)
	}
	world.Step(now.Add(time.Millisecond), []Event{LoadEnded{Document: DocumentMembers, Version: version}})
	if nodes := tracker.View().Nodes; len(nodes) != 1 {
		t.Fatalf("the view has the nodes %v", nodes)
	}
}

// TestJoinWithoutPeers covers a start while neither the platform nor peers
// answer: the node waits for its join timeout and then continues with what it
// has.
func TestJoinWithoutPeers(t *testing.T) {
	harness := newWorldHarness("10.0.0.1:1")
	harness.step(0)
	failed := []Event{
		LoadEnded{Document: DocumentSettings, Err: platform.ErrUnavailable},
		LoadEnded{Document: DocumentMembers, Err: platform.ErrUnavailable},
		SyncEnded{To: "10.0.0.1:1", Err: errLost},
	}
	joined := commandsOf[Joined](harness.step(time.Millisecond, failed...))
	waited := time.Duration(0)
	for ; len(joined) == 0 && waited < time.Minute; waited += joinRetry {
		joined = commandsOf[Joined](harness.step(joinRetry))
	}
	if waited < harness.world.config.JoinTimeout-joinRetry || waited > harness.world.config.JoinTimeout+joinRetry {
		t.Fatalf("joined after %s", waited)
	}
}

// TestPullRetries guards against two nodes that call each other without a pause
// because one of them claims a revision and never delivers it.
func TestPullRetries(t *testing.T) {
	harness := newWorldHarness()
	harness.step(0, loadedEvents...)
	claim := EnvelopeReceived{Envelope: &rpc.Envelope{Sender: "10.0.0.1:1", SettingsRevision: 9}}
	pulls := commandsOf[Sync](harness.step(0, claim, claim))
	for range 100 {
		pulls = append(pulls, commandsOf[Sync](harness.step(time.Millisecond, answer("10.0.0.1:1", 9, nil)))...)
	}
	if len(pulls) != 1 {
		t.Fatalf("%d pulls in 0.1 s", len(pulls))
	}
	if again := commandsOf[Sync](harness.step(pullRetry)); len(again) != 1 {
		t.Fatalf("%d pulls after the retry delay", len(again))
	}
}

// TestPushesAreBatched guards against a fleet whose nodes each open a
// connection to every other one at the start: a hundred nodes register within a
// second, and each registration is an update for each node.
func TestPushesAreBatched(t *testing.T) {
	harness := newWorldHarness()
	harness.step(0, loadedEvents...)
	pushes := 0
	for i := range 100 {
		object := platform.Object{Key: fmt.Sprintf("nodes/10.0.1.%d:1", i), Version: platform.Version(10 + i), Data: []byte("{}")}
		if err := harness.world.directory.ApplyChanges(t.Context(), nil, []platform.Change{{Object: object}}); err != nil {
			t.Fatal(err)
		}
		for _, sync := range commandsOf[Sync](harness.step(10 * time.Millisecond)) {
			if sync.Reason == ReasonPush {
				pushes++
			}
		}
	}
	if config := harness.world.config; pushes == 0 || pushes > 3*config.FanOut {
		t.Fatalf("%d pushes in a second", pushes)
	}
}

// TestWatchAfterCompaction guards against a watcher that receives no more
// changes, or misses some permanently, after a watch from a version that the
// platform's bounded history no longer covers.
func TestWatchAfterCompaction(t *testing.T) {
	harness := newWorldHarness()
	watches := commandsOf[Watch](append(harness.step(0, loadedEvents...), harness.step(time.Second)...))
	if len(watches) != int(documentCount) || watches[0].From != 5 {
		t.Fatalf("watches %v", watches)
	}
	commands := harness.step(0, WatchEnded{Document: DocumentMembers, Err: platform.ErrCompacted})
	if loads := commandsOf[Load](commands); len(loads) != 1 || loads[0].Document != DocumentMembers {
		t.Fatalf("commands %v", commands)
	}
	commands = harness.step(0, WatchEnded{Document: DocumentSettings, Err: platform.ErrUnavailable})
	if len(commandsOf[Watch](commands))+len(commandsOf[Load](commands)) != 0 {
		t.Fatal("no delay after a failure")
	}
	commands = harness.step(time.Minute)
	if watches := commandsOf[Watch](commands); len(watches) != 1 || watches[0].From != 5 {
		t.Fatalf("commands %v", commands)
	}
}

// TestLoadAfterCompaction guards against a watcher that calls the platform
// without a pause. Its watch is rejected as too old because other objects have
// used up the history; the document itself still has its old version, so that a
// watch from there would be rejected again.
func TestLoadAfterCompaction(t *testing.T) {
	store := platform.NewStore(platform.StoreOptions{History: 2})
	put := func(key string) {
		if _, err := store.Put(t.Context(), key, []byte("a"), 0); err != nil {
			t.Fatal(err)
		}
	}
	for _, key := range []string{headKey, "nodes/1", "nodes/2", "nodes/3"} {
		put(key)
	}
	replica := &fakeReplica{}
	version, err := loadReplica(t.Context(), store, replica, true)
	if err != nil || replica.Revision() != 1 {
		t.Fatal(replica.Revision(), err)
	}
	if _, _, err := store.Watch(t.Context(), headKey, version, 0); err != nil {
		t.Fatalf("watch from %d: %v", version, err)
	}
}

// TestVerdictsMerge merges generated verdicts in two orders, with duplicates:
// the sets and their digests must be equal, and all verdicts must expire.
func TestVerdictsMerge(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		verdicts := rapid.SliceOf(rapid.Custom(func(t *rapid.T) *rpc.Verdict {
			return &rpc.Verdict{
				Fingerprint: []byte(rapid.StringMatching("[a-c]").Draw(t, "fingerprint")),
				Crashes:     rapid.Uint32Range(1, 3).Draw(t, "crashes"),
				ExpiresMs:   now.Add(time.Duration(rapid.IntRange(-2, 9).Draw(t, "expires")) * time.Second).UnixMilli(),
			}
		})).Draw(t, "verdicts")
		one, other := newVerdictTable(), newVerdictTable()
		one.merge(verdicts, now)
		for _, verdict := range rapid.Permutation(append(verdicts, verdicts...)).Draw(t, "order") {
			other.merge([]*rpc.Verdict{verdict}, now)
		}
		if one.digest != other.digest || one.rows.Len() != other.rows.Len() {
			t.Fatalf("%v and %v", one.list(9), other.list(9))
		}
		for _, verdict := range verdicts {
			known := one.rows.Get(string(verdict.GetFingerprint()))
			if verdict.GetExpiresMs() > now.UnixMilli() && known.GetCrashes() < verdict.GetCrashes() {
				t.Fatalf("%v lost to %v", verdict, known)
			}
		}
		one.prune(now.Add(time.Minute))
		if one.rows.Len() != 0 || one.digest != 0 {
			t.Fatalf("not removed after their expiry: %v", one.list(9))
		}
	})
}

// TestManyVerdicts guards against control traffic that grows with the number of
// verdicts, and against verdicts that never arrive, if one node has more
// verdicts than fit into a message and its peer has none.
func TestManyVerdicts(t *testing.T) {
	now := time.Unix(1000, 0)
	from, to := newVerdictTable(), newVerdictTable()
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 1000 {
		expires := now.Add(time.Duration(i) * time.Second).UnixMilli()
		from.merge([]*rpc.Verdict{{Fingerprint: fmt.Append(nil, i), Crashes: 1, ExpiresMs: expires}}, now)
	}
	messages := 0
	for ; to.digest != from.digest && messages < 1000; messages++ {
		sent := from.sample(random)
		if len(sent) > maxVerdictsSent {
			t.Fatalf("%d verdicts in one message", len(sent))
		}
		to.merge(sent, now)
	}
	if to.digest != from.digest {
		t.Fatalf("%d of %d after %d messages", to.rows.Len(), from.rows.Len(), messages)
	}
}

// TestLeavingIsKnownEverywhere drains one node by its self-report and another
// by the platform's list, which lags.
func TestLeavingIsKnownEverywhere(t *testing.T) {
	s := newSimulation(3, 6)
	s.store.SetVMLag(time.Second)
	if !s.run(recoveryLimit, func() bool { return s.converged(s.nodes...) }) {
		t.Fatal("the fleet did not start")
	}
	s.step(s.nodes[4], LeavingSet{Leaving: true})
	s.store.SetVM(platform.VM{Name: "vm-5", State: fleet.VMLeaving})
	leavingOnly := func(node *simNode) bool {
		live := membership.Live(node.world.view.Nodes)
		return len(node.world.view.Nodes) == 6 && len(live) == 4 &&
			!membership.Contains(live, "10.0.0.4:1") && !membership.Contains(live, "10.0.0.5:1")
	}
	if !s.run(spreadLimit, func() bool { return lo.EveryBy(s.nodes, leavingOnly) }) {
		t.Fatalf("not known everywhere: %s", s.describe())
	}
	s.start(s.nodes[4])
	live := func(node *simNode) bool { return len(membership.Live(node.world.view.Nodes)) == 5 }
	if !s.run(spreadLimit, func() bool { return lo.EveryBy(s.nodes, live) }) {
		t.Fatalf("a restarted node is still leaving: %s", s.describe())
	}
	s.store.SetVM(platform.VM{Name: "vm-5", State: platform.VMGone})
	s.nodes[5].paused = true
	others := s.nodes[:5]
	gone := func(node *simNode) bool { return len(node.world.view.Nodes) == 5 }
	if !s.run(recoveryLimit, func() bool { return lo.EveryBy(others, gone) }) {
		t.Fatalf("a gone VM's node is still there: %s", s.describe())
	}
}

// TestNewNodeInAnOutage guards against a replacement VM that gets no work
// during an outage of the platform. Nodes normally become known by their object
// on the platform; this one starts at an address that is in no list and joins
// through the peers in its settings file.
func TestNewNodeInAnOutage(t *testing.T) {
	s := newSimulation(5, 6)
	s.edit()
	if !s.run(recoveryLimit, func() bool { return s.converged(s.nodes...) }) {
		t.Fatal("the fleet did not start")
	}
	s.store.SetFaults(platform.Faults{Down: true})
	late := &simNode{self: fleet.Node{VM: "vm-9", Control: "10.0.0.9:1", Zone: "zone-0"}}
	s.nodes = append(s.nodes, late)
	s.start(late)
	others := s.nodes[:6]
	if !s.run(recoveryLimit, func() bool { return s.converged(others...) }) {
		t.Fatalf("not known in the outage: %s", s.describe())
	}
	if !late.joined || late.replica.Revision() != s.accepted() {
		t.Fatal("the new node has not joined")
	}
	s.store.SetFaults(platform.Faults{})
	registered := func() bool { _, ok := others[0].world.directory.Record(late.self.Control); return ok }
	if !s.run(recoveryLimit, func() bool { return registered() && s.converged(s.nodes...) }) {
		t.Fatalf("not registered after the outage: %s", s.describe())
	}
}
