package settings

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// TestReplicaNeverGoesBack guards against nodes that return to outdated settings or
// diverge from each other. That happens if a node accepts updates because they
// arrive last, not because their revision is higher: deltas from peers and reads of
// the platform may arrive late, twice, out of order or from a stale state.
func TestReplicaNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := newSharedPlatform()
		editor := newTestEditor(shared.store)
		stale := shared.withFaults(func(bool, string) fault { return faultStale })
		nodes := []*Replica{NewReplica(), NewReplica(), NewReplica()}
		var inFlight [][]byte
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			node := rapid.SampledFrom(nodes).Draw(t, "node")
			before := node.Revision()
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				submitRandomEdit(t, editor, step)
			case 1:
				load(t, node, shared.store)
			case 2:
				load(t, node, stale)
			case 3:
				since := uint64(rapid.IntRange(0, 12).Draw(t, "since"))
				inFlight = append(inFlight, node.Delta(since))
			case 4:
				if len(inFlight) > 0 {
					applyDelta(t, node, rapid.SampledFrom(inFlight).Draw(t, "delta"))
				}
			case 5:
				applyWatchedHead(t, node, shared)
			}
			if node.Revision() < before {
				t.Fatalf("the revision decreased from %d to %d", before, node.Revision())
			}
		}
		requireConvergence(t, shared, nodes)
	})
}

func submitRandomEdit(t *rapid.T, editor *Editor, step int) {
	change := Change{Op: OpCreate, Path: Path(fmt.Sprintf("acme/labs/n%d", step)), Settings: []Setting{{"weight", "2"}}}
	if rapid.Bool().Draw(t, "near the root") {
		change = Change{Op: OpSet, Path: Root, Key: "weight", After: fmt.Sprint(step + 2)}
	}
	if result := editor.Submit(context.Background(), Edit{Changes: []Change{change}}); result.Outcome != OutcomeAccepted {
		t.Fatalf("%+v", result)
	}
}

func load(t *rapid.T, node *Replica, api platform.API) {
	before := node.Revision()
	if _, err := node.Load(context.Background(), api); err != nil && node.Revision() != before {
		t.Fatalf("changed despite the error %v", err)
	}
}

func applyDelta(t *rapid.T, node *Replica, data []byte) {
	if len(data) == 0 {
		return
	}
	before := node.Revision()
	rose, err := node.Apply(data)
	if err != nil || rose != (node.Revision() > before) {
		t.Fatalf("from %d to %d, reported %v: %v", before, node.Revision(), rose, err)
	}
}

func applyWatchedHead(t *rapid.T, node *Replica, shared *sharedPlatform) {
	states := slices.Clone(shared.earlierStates[HeadKey])
	if len(states) == 0 {
		return
	}
	state := rapid.SampledFrom(states).Draw(t, "watched")
	if state.Version == 0 {
		return
	}
	if err := node.ApplyChanges(context.Background(), shared.store, []platform.Change{{Object: state}}); err != nil {
		t.Fatal(err)
	}
}

// requireConvergence loads the settings into one node, sends its deltas to the
// others and checks that all nodes have the accepted tree.
func requireConvergence(t *rapid.T, shared *sharedPlatform, nodes []*Replica) {
	if _, err := nodes[0].Load(context.Background(), shared.store); err != nil {
		t.Fatal(err)
	}
	snapshot, err := NewReader(shared.store, noWaitRetry()).Read(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, node := range nodes {
		applyDelta(t, node, nodes[0].Delta(node.Revision()))
		if node.Revision() != snapshot.Tree.Revision() || !node.Tree().Equal(snapshot.Tree) {
			t.Fatalf("at %d:\n%s\naccepted %d:\n%s", node.Revision(), FormatINI(node.Tree()),
				snapshot.Tree.Revision(), FormatINI(snapshot.Tree))
		}
		requireSameView(t, node.view.Load(), newView(snapshot.Tree))
	}
}

func TestReplicaRejectsInvalidDeltas(t *testing.T) {
	node := NewReplica()
	tree, _, err := NewTree().Apply([]Change{{Op: OpCreate, Path: "acme"}})
	if err != nil {
		t.Fatal(err)
	}
	node.installTree(tree.WithRevision(3))
	invalid := map[string]string{
		"not a delta":            "{",
		"not compressed":         "\x1f\x8bnonsense",
		"an operation not known": `{"edits":[{"revision":4,"changes":[{"op":"paint","path":"acme"}]}]}`,
		"a node not known":       `{"edits":[{"revision":4,"changes":[{"op":"set","path":"umbra","key":"weight","after":"2"}]}]}`,
	}
	for name, data := range invalid {
		if rose, err := node.Apply([]byte(data)); rose || err == nil || node.Revision() != 3 {
			t.Errorf("%s: rose %v to %d, error %v", name, rose, node.Revision(), err)
		}
	}
	// A gap is not an error: the sender's next delta begins at this node's revision.
	if rose, err := node.Apply([]byte(`{"edits":[{"revision":5,"changes":[]}]}`)); rose || err != nil {
		t.Errorf("gap: rose %v, error %v", rose, err)
	}
	// Edits that are known already are skipped, later ones are applied.
	overlap := `{"edits":[{"revision":3,"changes":[]},{"revision":4,"changes":[{"op":"set","path":"acme","key":"weight","after":"2"}]}]}`
	if rose, err := node.Apply([]byte(overlap)); !rose || err != nil || node.Revision() != 4 {
		t.Errorf("overlap: rose %v to %d, error %v", rose, node.Revision(), err)
	}
}

// TestLoadReturnsWatchableVersion guards against a node that keeps reading the head
// and never learns of an edit by its watch. That happens if it watches from the
// version of the head, which the platform no longer has when other objects have
// changed often while the settings stayed the same.
func TestLoadReturnsWatchableVersion(t *testing.T) {
	store := platform.NewStore(platform.StoreOptions{History: 2})
	if result := Bootstrap(t.Context(), store, []byte("[acme]"), "first"); result.Outcome != OutcomeAccepted {
		t.Fatalf("%+v", result)
	}
	for _, key := range []string{"a", "b", "c"} {
		if _, err := store.Put(t.Context(), key, nil, 0); err != nil {
			t.Fatal(err)
		}
	}
	node := NewReplica()
	version, err := node.Load(t.Context(), store)
	if err != nil || node.Revision() != 1 {
		t.Fatalf("revision %d: %v", node.Revision(), err)
	}
	if _, _, err := store.Watch(t.Context(), node.WatchPrefix(), version, 0); err != nil {
		t.Fatal(err)
	}
}
