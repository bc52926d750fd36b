package settings

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// TestReplicaNeverGoesBack feeds nodes with news in any order.
//
// Symptom: a router follows settings that had been replaced, or differs from
// all others. Sequence of events: deltas from peers and reads of the platform
// arrive late, twice, out of order, or from an old state. Cause: news taken
// because they came last, not because they are higher.
func TestReplicaNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := newSharedPlatform()
		editor := newTestEditor(shared.store)
		stale := shared.gate(func(bool, string) fault { return faultStale })
		nodes := []*Replica{NewReplica(), NewReplica(), NewReplica()}
		var onTheWire [][]byte
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			node := rapid.SampledFrom(nodes).Draw(t, "node")
			before := node.Revision()
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				submitSome(t, editor, step)
			case 1:
				load(t, node, shared.store)
			case 2:
				load(t, node, stale)
			case 3:
				since := uint64(rapid.IntRange(0, 12).Draw(t, "since"))
				onTheWire = append(onTheWire, node.Delta(since))
			case 4:
				if len(onTheWire) > 0 {
					takeDelta(t, node, rapid.SampledFrom(onTheWire).Draw(t, "delta"))
				}
			case 5:
				takeWatched(t, node, shared)
			}
			if node.Revision() < before {
				t.Fatalf("the revision fell from %d to %d", before, node.Revision())
			}
		}
		requireAllAtLast(t, shared, nodes)
	})
}

func submitSome(t *rapid.T, editor *Editor, step int) {
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
		t.Fatalf("changed in spite of %v", err)
	}
}

func takeDelta(t *rapid.T, node *Replica, data []byte) {
	if len(data) == 0 {
		return
	}
	before := node.Revision()
	rose, err := node.Apply(data)
	if err != nil || rose != (node.Revision() > before) {
		t.Fatalf("from %d to %d, reported %v: %v", before, node.Revision(), rose, err)
	}
}

func takeWatched(t *rapid.T, node *Replica, shared *sharedPlatform) {
	states := slices.Clone(shared.earlier[HeadKey])
	if len(states) == 0 {
		return
	}
	seen := rapid.SampledFrom(states).Draw(t, "watched")
	if seen.Version == 0 {
		return
	}
	if err := node.ApplyChanges(context.Background(), shared.store, []platform.Change{{Object: seen}}); err != nil {
		t.Fatal(err)
	}
}

// requireAllAtLast lets one node read the platform and the others hear from it.
func requireAllAtLast(t *rapid.T, shared *sharedPlatform, nodes []*Replica) {
	if _, err := nodes[0].Load(context.Background(), shared.store); err != nil {
		t.Fatal(err)
	}
	snapshot, err := NewReader(shared.store, quickRetry()).Read(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, node := range nodes {
		takeDelta(t, node, nodes[0].Delta(node.Revision()))
		if node.Revision() != snapshot.Tree.Revision() || !node.Tree().Equal(snapshot.Tree) {
			t.Fatalf("at %d:\n%s\naccepted %d:\n%s", node.Revision(), FormatINI(node.Tree()),
				snapshot.Tree.Revision(), FormatINI(snapshot.Tree))
		}
		requireSameView(t, node.view.Load(), newView(snapshot.Tree))
	}
}

func TestReplicaRefusesBrokenNews(t *testing.T) {
	node := NewReplica()
	tree, _, err := NewTree().Apply([]Change{{Op: OpCreate, Path: "acme"}})
	if err != nil {
		t.Fatal(err)
	}
	node.takeTree(tree.WithRevision(3))
	broken := map[string]string{
		"not a delta":            "{",
		"not compressed":         "\x1f\x8bnonsense",
		"an operation not known": `{"edits":[{"revision":4,"changes":[{"op":"paint","path":"acme"}]}]}`,
		"a node not known":       `{"edits":[{"revision":4,"changes":[{"op":"set","path":"umbra","key":"weight","after":"2"}]}]}`,
	}
	for name, data := range broken {
		if rose, err := node.Apply([]byte(data)); rose || err == nil || node.Revision() != 3 {
			t.Errorf("%s: rose %v to %d, error %v", name, rose, node.Revision(), err)
		}
	}
	// A gap is no error: the sender's next delta begins where this node is.
	if rose, err := node.Apply([]byte(`{"edits":[{"revision":5,"changes":[]}]}`)); rose || err != nil {
		t.Errorf("gap: rose %v, error %v", rose, err)
	}
	// Edits that are known already are passed over, the later ones are taken.
	overlap := `{"edits":[{"revision":3,"changes":[]},{"revision":4,"changes":[{"op":"set","path":"acme","key":"weight","after":"2"}]}]}`
	if rose, err := node.Apply([]byte(overlap)); !rose || err != nil || node.Revision() != 4 {
		t.Errorf("overlap: rose %v to %d, error %v", rose, node.Revision(), err)
	}
}

// TestLoadGivesAVersionToWatchFrom
//
// Symptom: a node reads the whole head again and again and never hears of an
// edit by its watch. Sequence of events: the settings stay as they are while
// other objects change often. Cause: a watch from the version of the head,
// which the platform no longer has.
func TestLoadGivesAVersionToWatchFrom(t *testing.T) {
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
