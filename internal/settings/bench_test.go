package settings

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/platform"
)

// fleetTree returns a tree with the given number of client accounts, one API key
// each, in teams of ten and organisations of ten teams, and with 30 services.
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

// BenchmarkReplica measures the cost of the settings at a node. Besides the time it
// reports heap-B, the memory that a replica retains; whole-B, the size of the delta
// of a complete tree; edit-B, the delta of an edit of one value; head-B, the head
// object after many such edits; and written-B, all objects that one of them writes.
func BenchmarkReplica(b *testing.B) {
	for _, accounts := range []int{100, 400, 1700} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			tree := fleetTree(b, accounts).WithRevision(1)
			b.Run("size", func(b *testing.B) { benchmarkSize(b, tree) })
			b.Run("whole", func(b *testing.B) { benchmarkFullTree(b, tree) })
			b.Run("edit-account", func(b *testing.B) { benchmarkEdit(b, tree, "org-0/team-0/account-0") })
			b.Run("edit-root", func(b *testing.B) { benchmarkEdit(b, tree, Root) })
			b.Run("find-key", func(b *testing.B) { benchmarkFindKey(b, tree) })
		})
	}
}

func benchmarkFullTree(b *testing.B, tree *Tree) {
	source := NewReplica()
	source.installTree(tree)
	for b.Loop() {
		if rose, err := NewReplica().Apply(source.Delta(0)); !rose || err != nil {
			b.Fatal(rose, err)
		}
	}
}

func benchmarkEdit(b *testing.B, tree *Tree, path Path) {
	node := NewReplica()
	node.installTree(tree)
	for revision := uint64(2); b.Loop(); revision++ {
		change := Change{Op: OpSet, Path: path, Key: KeyWeight, After: fmt.Sprint(1 + revision%7)}
		edit := []editDelta{{Revision: revision, Changes: []Change{change}}}
		if rose, err := node.applyEdits(edit); !rose || err != nil {
			b.Fatal(rose, err)
		}
	}
}

// benchmarkFindKey looks up a key that exists, one that differs only in the last
// byte and one that differs in the first byte. All three must take the same time.
func benchmarkFindKey(b *testing.B, tree *Tree) {
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
	source.installTree(tree)
	fullDelta := source.Delta(0)
	before := heapBytes()
	node := NewReplica()
	for b.Loop() {
		if _, err := node.Apply(fullDelta); err != nil {
			b.Fatal(err)
		}
	}
	retained := heapBytes() - before
	runtime.KeepAlive(node)

	edit := Change{Op: OpSet, Path: "org-0/team-0/account-0", Key: KeyWeight, After: "9"}
	if _, err := source.applyEdits([]editDelta{{Revision: 2, Changes: []Change{edit}}}); err != nil {
		b.Fatal(err)
	}
	store := platform.NewStore(platform.StoreOptions{WritesPerSecond: 1 << 20, ReadsPerSecond: 1 << 20})
	editor := NewEditor(store, noWaitRetry())
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
	head, written := objectSizes(b, store)
	for name, value := range map[string]float64{
		"heap-B": float64(retained), "whole-B": float64(len(fullDelta)), "edit-B": float64(len(source.Delta(1))),
		"head-B": head, "written-B": written, "accounts": float64(len(node.View().(*resolvedView).accounts)), "ns/op": 0,
	} {
		b.ReportMetric(value, name)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// lastRevision is high enough that the first edit, which contains the complete
// tree, has moved to an audit object.
const lastRevision = 80

// objectSizes returns the size of the head and of all objects that the last edit
// wrote.
func objectSizes(b *testing.B, store *platform.Store) (head, written float64) {
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
