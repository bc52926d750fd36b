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

// desk steps one world by hand.
type desk struct {
	world   *World
	replica *fakeReplica
	now     time.Time
}

func newDesk(seeds ...fleet.Address) *desk {
	self := fleet.Node{VM: "vm-0", Control: "10.0.0.0:1", Zone: "zone-0", Incarnation: 1}
	replica, directory := &fakeReplica{}, membership.NewDirectory()
	return &desk{replica: replica, now: time.Unix(1000, 0), world: NewWorld(Config{Self: self, Seeds: seeds}, Dependencies{
		Envelopes: NewEnvelopeSource(self, replica, directory), Tracker: membership.NewTracker(directory),
		Directory: directory, Settings: replica,
	})}
}

func (d *desk) step(after time.Duration, events ...Event) []Command {
	d.now = d.now.Add(after)
	commands, _ := d.world.Step(d.now, events)
	return commands
}

// only returns the commands of one kind.
func only[C Command](commands []Command) []C {
	return lo.FilterMap(commands, func(command Command, _ int) (C, bool) {
		wanted, ok := command.(C)
		return wanted, ok
	})
}

var loaded = []Event{LoadEnded{Document: DocumentSettings, Version: 5}, LoadEnded{Document: DocumentMembers, Version: 5}}

func answer(peer fleet.Address, revision uint64, settings []byte) SyncEnded {
	envelope := &rpc.Envelope{Sender: string(peer), Incarnation: 1, SettingsRevision: revision}
	return SyncEnded{To: peer, Reply: &rpc.SyncReply{Envelope: envelope, Settings: settings}}
}

// TestJoinWaitsForPeers covers a cold restart while the platform gives an old
// state.
// Symptom: a restarted node acts on settings that the fleet has left behind.
// Sequence: it reads an old revision; its peers, who have a higher one, answer
// later, one of them without the delta; or it is paused in between.
// Cause: the platform's answer looks complete to a node that knows nothing.
func TestJoinWaitsForPeers(t *testing.T) {
	desk := newDesk("10.0.0.1:1", "10.0.0.2:1")
	if asked := only[Sync](desk.step(0)); len(asked) != 2 {
		t.Fatalf("asked %v", asked)
	}
	desk.replica.content = []byte("a")
	notYet := func(what string, commands []Command) []Command {
		t.Helper()
		if len(only[Joined](commands)) > 0 {
			t.Fatalf("joined after %s", what)
		}
		return commands
	}
	notYet("the platform alone", desk.step(time.Millisecond, loaded...))
	notYet("one of two answers", desk.step(time.Millisecond, answer("10.0.0.1:1", 1, nil)))
	notYet("a pause", desk.step(time.Hour))
	commands := notYet("a claim without its delta", desk.step(time.Millisecond, answer("10.0.0.2:1", 2, nil)))
	pulls := only[Sync](commands)
	if len(pulls) != 1 || pulls[0].Reason != ReasonPull || pulls[0].To != "10.0.0.2:1" {
		t.Fatalf("the claim led to %v", commands)
	}
	delta := (&fakeReplica{content: []byte("ab")}).Delta(1)
	commands = desk.step(time.Millisecond, answer("10.0.0.2:1", 2, delta))
	if len(only[Joined](commands)) != 1 || desk.replica.Revision() != 2 {
		t.Fatalf("at revision %d: %v", desk.replica.Revision(), commands)
	}
}

// TestJoinAlone covers a start while neither platform nor peers answer: the
// node waits for its time-out and then goes on with what it has.
func TestJoinAlone(t *testing.T) {
	desk := newDesk("10.0.0.1:1")
	desk.step(0)
	failed := []Event{
		LoadEnded{Document: DocumentSettings, Err: platform.ErrUnavailable},
		LoadEnded{Document: DocumentMembers, Err: platform.ErrUnavailable},
		SyncEnded{To: "10.0.0.1:1", Err: errLost},
	}
	joined := only[Joined](desk.step(time.Millisecond, failed...))
	waited := time.Duration(0)
	for ; len(joined) == 0 && waited < time.Minute; waited += joinRetry {
		joined = only[Joined](desk.step(joinRetry))
	}
	if waited < desk.world.config.JoinTimeout-joinRetry || waited > desk.world.config.JoinTimeout+joinRetry {
		t.Fatalf("joined after %s", waited)
	}
}

// TestPullRetries covers a peer that claims a revision and never delivers it.
// Symptom: two nodes call each other without a pause.
// Sequence: a claim, a pull, a reply without the delta, and again.
// Cause: the peer's claim or its delta is wrong.
func TestPullRetries(t *testing.T) {
	desk := newDesk()
	desk.step(0, loaded...)
	claim := EnvelopeReceived{Envelope: &rpc.Envelope{Sender: "10.0.0.1:1", SettingsRevision: 9}}
	pulls := only[Sync](desk.step(0, claim, claim))
	for range 100 {
		pulls = append(pulls, only[Sync](desk.step(time.Millisecond, answer("10.0.0.1:1", 9, nil)))...)
	}
	if len(pulls) != 1 {
		t.Fatalf("%d pulls in 0.1 s", len(pulls))
	}
	if again := only[Sync](desk.step(pullRetry)); len(again) != 1 {
		t.Fatalf("%d pulls later", len(again))
	}
}

// TestPushesTravelTogether covers the start of a fleet.
// Symptom: every node opens a connection to every other one.
// Sequence: a hundred nodes register within a second.
// Cause: each registration is news to each node.
func TestPushesTravelTogether(t *testing.T) {
	desk := newDesk()
	desk.step(0, loaded...)
	pushes := 0
	for i := range 100 {
		object := platform.Object{Key: fmt.Sprintf("nodes/10.0.1.%d:1", i), Version: platform.Version(10 + i), Data: []byte("{}")}
		if err := desk.world.directory.ApplyChanges(t.Context(), nil, []platform.Change{{Object: object}}); err != nil {
			t.Fatal(err)
		}
		for _, sync := range only[Sync](desk.step(10 * time.Millisecond)) {
			if sync.Reason == ReasonPush {
				pushes++
			}
		}
	}
	if config := desk.world.config; pushes == 0 || pushes > 3*config.FanOut {
		t.Fatalf("%d pushes in a second", pushes)
	}
}

// TestWatchAfterCompaction covers a watch whose changes are no longer there.
// Symptom: a watcher hears nothing more, or misses changes for good.
// Sequence: a watcher is away while many changes pass; it watches again.
// Cause: the platform keeps a bounded history.
func TestWatchAfterCompaction(t *testing.T) {
	desk := newDesk()
	watches := only[Watch](append(desk.step(0, loaded...), desk.step(time.Second)...))
	if len(watches) != int(documentCount) || watches[0].From != 5 {
		t.Fatalf("watches %v", watches)
	}
	commands := desk.step(0, WatchEnded{Document: DocumentMembers, Err: platform.ErrCompacted})
	if loads := only[Load](commands); len(loads) != 1 || loads[0].Document != DocumentMembers {
		t.Fatalf("commands %v", commands)
	}
	commands = desk.step(0, WatchEnded{Document: DocumentSettings, Err: platform.ErrUnavailable})
	if len(only[Watch](commands))+len(only[Load](commands)) != 0 {
		t.Fatal("no pause after a failure")
	}
	commands = desk.step(time.Minute)
	if watches := only[Watch](commands); len(watches) != 1 || watches[0].From != 5 {
		t.Fatalf("commands %v", commands)
	}
}

// TestLoadAfterCompaction covers a document that has not changed for longer
// than the platform keeps changes.
// Symptom: a watcher calls the platform without a pause.
// Sequence: its watch is refused as too old; it reads the document, which has
// its old version; a watch from there is refused again.
// Cause: other objects have used up the history.
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

// TestVerdictsMerge merges drawn verdicts in two orders, some of them twice:
// the sets and their digests are the same, and nothing is left at the end.
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
		one.settle(now.Add(time.Minute))
		if one.rows.Len() != 0 || one.digest != 0 {
			t.Fatalf("unexpired: %v", one.list(9))
		}
	})
}

// TestManyVerdicts covers a storm of crashes.
// Symptom: control traffic rises with the verdicts, or some never arrive.
// Sequence: a node has more verdicts than a message holds; its peer has none.
// Cause: two nodes whose digests differ send each other verdicts.
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

// TestLeavingIsKnownEverywhere drains one node by its own word and another by
// the platform's list, which lags.
func TestLeavingIsKnownEverywhere(t *testing.T) {
	s := newSimulation(3, 6)
	s.store.SetVMLag(time.Second)
	if !s.run(healGoal, func() bool { return s.level(s.nodes...) }) {
		t.Fatal("the fleet did not come up")
	}
	s.step(s.nodes[4], LeavingSet{Leaving: true})
	s.store.SetVM(platform.VM{Name: "vm-5", State: fleet.VMLeaving})
	leavingOnly := func(node *simNode) bool {
		live := membership.Live(node.world.view.Nodes)
		return len(node.world.view.Nodes) == 6 && len(live) == 4 &&
			!membership.Contains(live, "10.0.0.4:1") && !membership.Contains(live, "10.0.0.5:1")
	}
	if !s.run(spreadGoal, func() bool { return lo.EveryBy(s.nodes, leavingOnly) }) {
		t.Fatalf("not known everywhere: %s", s.describe())
	}
	s.start(s.nodes[4])
	live := func(node *simNode) bool { return len(membership.Live(node.world.view.Nodes)) == 5 }
	if !s.run(spreadGoal, func() bool { return lo.EveryBy(s.nodes, live) }) {
		t.Fatalf("a restarted node is still leaving: %s", s.describe())
	}
	s.store.SetVM(platform.VM{Name: "vm-5", State: platform.VMGone})
	s.nodes[5].paused = true
	others := s.nodes[:5]
	gone := func(node *simNode) bool { return len(node.world.view.Nodes) == 5 }
	if !s.run(healGoal, func() bool { return lo.EveryBy(others, gone) }) {
		t.Fatalf("a gone VM's node is still there: %s", s.describe())
	}
}

// TestNewNodeInAnOutage covers a VM that is replaced while the platform is down.
// Symptom: the new node gets no work until the platform is back.
// Sequence: the platform goes down; a node starts at an address that no list
// has; it joins by the peers named in its settings file.
// Cause: a node becomes known by its object on the platform.
func TestNewNodeInAnOutage(t *testing.T) {
	s := newSimulation(5, 6)
	s.edit()
	if !s.run(healGoal, func() bool { return s.level(s.nodes...) }) {
		t.Fatal("the fleet did not come up")
	}
	s.store.SetFaults(platform.Faults{Down: true})
	late := &simNode{self: fleet.Node{VM: "vm-9", Control: "10.0.0.9:1", Zone: "zone-0"}}
	s.nodes = append(s.nodes, late)
	s.start(late)
	others := s.nodes[:6]
	if !s.run(healGoal, func() bool { return s.level(others...) }) {
		t.Fatalf("not known in the outage: %s", s.describe())
	}
	if !late.joined || late.replica.Revision() != s.accepted() {
		t.Fatal("the new node has not joined")
	}
	s.store.SetFaults(platform.Faults{})
	registered := func() bool { _, ok := others[0].world.directory.Record(late.self.Control); return ok }
	if !s.run(healGoal, func() bool { return registered() && s.level(s.nodes...) }) {
		t.Fatalf("not registered after the outage: %s", s.describe())
	}
}
