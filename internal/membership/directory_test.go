package membership

import (
	"context"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/platform"
)

func register(t *testing.T, store *platform.Store, record Record) Record {
	data, err := EncodeRecord(record)
	if err != nil {
		t.Fatal(err)
	}
	object, _ := store.Get(t.Context(), Key(record.Control))
	version, err := store.Put(t.Context(), Key(record.Control), data, object.Version)
	if err != nil {
		t.Fatal(err)
	}
	record.Version = version
	return record
}

func newUnlimitedStore() *platform.Store {
	return platform.NewStore(platform.StoreOptions{WritesPerSecond: 1 << 30, ReadsPerSecond: 1 << 30, History: 8})
}

// fixedList answers List with a fixed state of the platform.
type fixedList struct {
	platform.API
	objects []platform.Object
	at      platform.Version
}

func (l fixedList) List(context.Context, string) ([]platform.Object, platform.Version, error) {
	return l.objects, l.at, nil
}

// TestDirectoriesConverge draws any interleaving of registrations, removals,
// full and stale loads, watches, and deltas that are lost, delayed, duplicated
// or reordered. No revision may decrease, and after a final exchange all
// directories must be equal.
func TestDirectoriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := newUnlimitedStore()
		directories := []*Directory{NewDirectory(), NewDirectory(), NewDirectory()}
		highest := make([]uint64, len(directories))
		var deltas [][]byte
		var lists []fixedList
		directoryIndex := rapid.IntRange(0, len(directories)-1)
		address := rapid.Custom(func(t *rapid.T) fleet.Address {
			return fleet.Address(fmt.Sprintf("127.0.0.1:%d", rapid.IntRange(1, 6).Draw(t, "port")))
		})
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				key := Key(address.Draw(t, "node"))
				object, _ := store.Get(ctx, key)
				_, _ = store.Put(ctx, key, []byte(`{"VM":"vm"}`), object.Version)
			},
			"remove": func(t *rapid.T) {
				key := Key(address.Draw(t, "node"))
				object, _ := store.Get(ctx, key)
				_ = store.Delete(ctx, key, object.Version)
			},
			"other write": func(t *rapid.T) {
				object, _ := store.Get(ctx, "settings/head")
				_, _ = store.Put(ctx, "settings/head", nil, object.Version)
			},
			"load": func(t *rapid.T) {
				objects, at, _ := store.List(ctx, platform.NodePrefix)
				lists = append(lists, fixedList{objects: objects, at: at})
				_, _ = directories[directoryIndex.Draw(t, "to")].Load(ctx, lists[len(lists)-1])
			},
			"stale load": func(t *rapid.T) {
				if len(lists) == 0 {
					return
				}
				old := lists[rapid.IntRange(0, len(lists)-1).Draw(t, "list")]
				_, _ = directories[directoryIndex.Draw(t, "to")].Load(ctx, old)
			},
			"watch": func(t *rapid.T) {
				to := directories[directoryIndex.Draw(t, "to")]
				changes, _, _ := store.Watch(ctx, to.WatchPrefix(), platform.Version(to.Revision()), 0)
				_ = to.ApplyChanges(ctx, store, changes)
			},
			"send": func(t *rapid.T) {
				since := directories[directoryIndex.Draw(t, "to")].Revision()
				deltas = append(deltas, directories[directoryIndex.Draw(t, "from")].Delta(since))
			},
			"receive": func(t *rapid.T) {
				if len(deltas) == 0 {
					return
				}
				delta := deltas[rapid.IntRange(0, len(deltas)-1).Draw(t, "delta")]
				if _, err := directories[directoryIndex.Draw(t, "to")].Apply(delta); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				for i, directory := range directories {
					if directory.Revision() < highest[i] {
						t.Fatalf("revision of directory %d went back from %d to %d", i, highest[i], directory.Revision())
					}
					highest[i] = directory.Revision()
				}
			},
		})
		current := NewDirectory()
		if _, err := current.Load(ctx, store); err != nil {
			t.Fatal(err)
		}
		want, _ := current.Records()
		if _, err := directories[0].Load(ctx, store); err != nil {
			t.Fatal(err)
		}
		for i, directory := range directories {
			if _, err := directory.Apply(directories[0].Delta(directory.Revision())); err != nil {
				t.Fatal(err)
			}
			if got, _ := directory.Records(); !reflect.DeepEqual(got, want) {
				t.Fatalf("directory %d has\n%v\nwant\n%v", i, got, want)
			}
		}
	})
}

// TestPrunedTombstones guards against deleted nodes that stay in a peer's view
// permanently. That could happen if the peer is cut off while more nodes are
// deleted than a directory keeps tombstones for, and then requests a delta.
func TestPrunedTombstones(t *testing.T) {
	store := newUnlimitedStore()
	directory, outdated := NewDirectory(), NewDirectory()
	register(t, store, Record{Node: fleet.Node{Control: "127.0.0.1:1"}})
	for _, each := range []*Directory{directory, outdated} {
		if _, err := each.Load(t.Context(), store); err != nil {
			t.Fatal(err)
		}
	}
	for version := range platform.Version(maxTombstones + 1) {
		deleted := platform.Object{Key: Key(fleet.Address(fmt.Sprintf("127.0.0.1:%d", version+1))), Version: version + 2}
		if err := directory.ApplyChanges(t.Context(), store, []platform.Change{{Object: deleted, Deleted: true}}); err != nil {
			t.Fatal(err)
		}
	}
	if advanced, err := outdated.Apply(directory.Delta(outdated.Revision())); !advanced || err != nil {
		t.Fatal(advanced, err)
	}
	if records, _ := outdated.Records(); len(records) != 0 {
		t.Fatalf("deleted nodes are still there: %v", records)
	}
}
