package settings

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// fleetTree returns a tree of so many client accounts in teams of ten and
// organisations of ten teams, an API key each, and 30 services.
func fleetTree(b *testing.B, accounts int) *Tree {
	b.Helper()
	const perTeam, teams, services = 10, 10, 30
	var changes []Change
	for number := range accounts {
		team := number / perTeam
		path := Path(fmt.Sprintf("org-%d/team-%d/account-%d", team/teams, team, number))
		hash := sha256.Sum256([]byte(path))
		changes = append(changes, Change{Op: OpCreate, Path: path, Settings: []Setting{
			{KeyWeight, fmt.Sprint(1 + number%5)}, {KeyAPIKey, FormatKeyHashes([]KeyHash{hash})},
		}})
	}
	for number := range services {
		changes = append(changes, Change{Op: OpCreate, Path: Path(fmt.Sprintf("services/model-%d", number)), Settings: []Setting{{"slots", "8"}}})
	}
	tree, _, err := NewTree().Apply(changes)
	if err != nil {
		b.Fatal(err)
	}
	return tree
}

// BenchmarkReplica measures what the settings cost a node. go test reports the
// time; heap-B is what the replica keeps, whole-B the delta of a whole tree,
// edit-B the delta of an edit of one value, head-B the platform's head object
// after many such edits, and written-B all objects that one of them writes.
func BenchmarkReplica(b *testing.B) {
	for _, accounts := range []int{100, 400, 1700} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			tree := fleetTree(b, accounts).WithRevision(1)
			b.Run("size", func(b *testing.B) { benchmarkSize(b, tree) })
			b.Run("whole", func(b *testing.B) { benchmarkWhole(b, tree) })
			b.Run("edit-account", func(b *testing.B) { benchmarkEdit(b, tree, "org-0/team-0/account-0") })
			b.Run("edit-root", func(b *testing.B) { benchmarkEdit(b, tree, Root) })
			b.Run("find-key", func(b *testing.B) { benchmarkFind(b, tree) })
		})
	}
}

func benchmarkWhole(b *testing.B, tree *Tree) {
	source := NewReplica()
	source.takeTree(tree)
	for b.Loop() {
		if rose, err := NewReplica().Apply(source.Delta(0)); !rose || err != nil {
			b.Fatal(rose, err)
		}
	}
}

func benchmarkEdit(b *testing.B, tree *Tree, path Path) {
	node := NewReplica()
	node.takeTree(tree)
	for revision := uint64(2); b.Loop(); revision++ {
		change := Change{Op: OpSet, Path: path, Key: KeyWeight, After: fmt.Sprint(1 + revision%7)}
		edit := []editDelta{{Revision: revision, Changes: []Change{change}}}
		if rose, err := node.takeEdits(edit); !rose || err != nil {
			b.Fatal(rose, err)
		}
	}
}

// benchmarkFind looks for a key that exists, for one that differs in the last
// byte only, and for one that differs in the first: the times are to be equal.
func benchmarkFind(b *testing.B, tree *Tree) {
	view := NewView(tree)
	present := KeyHash(sha256.Sum256([]byte("org-0/team-0/account-0")))
	lastByte, firstByte := present, present
	lastByte[len(lastByte)-1]++
	firstByte[0]++
	for name, hash := range map[string]KeyHash{"present": present, "last-byte": lastByte, "first-byte": firstByte} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, ok := view.AccountByKey(hash); ok != (hash == present) {
					b.Fatal("found", ok)
				}
			}
		})
	}
}

func benchmarkSize(b *testing.B, tree *Tree) {
	source := NewReplica()
	source.takeTree(tree)
	whole := source.Delta(0)
	before := heap()
	node := NewReplica()
	for b.Loop() {
		if _, err := node.Apply(whole); err != nil {
			b.Fatal(err)
		}
	}
	kept := heap() - before
	runtime.KeepAlive(node)

	edit := Change{Op: OpSet, Path: "org-0/team-0/account-0", Key: KeyWeight, After: "9"}
	if _, err := source.takeEdits([]editDelta{{Revision: 2, Changes: []Change{edit}}}); err != nil {
		b.Fatal(err)
	}
	store := platform.NewStore(platform.StoreOptions{WritesPerSecond: 1 << 20, ReadsPerSecond: 1 << 20})
	editor := NewEditor(store, quickRetry())
	submit := func(changes []Change) {
		if result := editor.Submit(b.Context(), Edit{Operator: "anna", Reason: "a typical reason", Changes: changes}); result.Outcome != OutcomeAccepted {
			b.Fatalf("%+v", result)
		}
	}
	submit(Diff(NewTree(), tree))
	for number := range lastRevision - 1 {
		edit.Path = Path(fmt.Sprintf("org-0/team-%d/account-%d", number/10, number))
		edit.After = fmt.Sprint(10 + number)
		submit([]Change{edit})
	}
	head, written := sizes(b, store)
	for name, value := range map[string]float64{
		"heap-B": float64(kept), "whole-B": float64(len(whole)), "edit-B": float64(len(source.Delta(1))),
		"head-B": head, "written-B": written, "accounts": float64(len(node.View().(*resolvedView).accounts)), "ns/op": 0,
	} {
		b.ReportMetric(value, name)
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// lastRevision is so high that the first edit, which holds the whole tree, has
// moved to an audit object.
const lastRevision = 80

// sizes returns the bytes of the head and of all that the last edit wrote.
func sizes(b *testing.B, store *platform.Store) (head, written float64) {
	objects, _, err := store.List(b.Context(), "settings/")
	if err != nil {
		b.Fatal(err)
	}
	var wroteHead platform.Version
	for _, object := range objects {
		if object.Key == HeadKey {
			head, wroteHead = float64(len(object.Data)), object.Version
		}
	}
	for _, object := range objects {
		if revision, err := chunkRevision(object.Key); err == nil && revision == lastRevision && object.Version < wroteHead {
			written += float64(len(object.Data))
		}
	}
	return head, written + head
}
