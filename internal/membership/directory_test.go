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

func unlimited() *platform.Store {
	return platform.NewStore(platform.StoreOptions{WritesPerSecond: 1 << 30, ReadsPerSecond: 1 << 30, History: 8})
}

// list answers a list call from what the platform held at one time.
type list struct {
	platform.API
	objects []platform.Object
	at      platform.Version
}

func (l list) List(context.Context, string) ([]platform.Object, platform.Version, error) {
	return l.objects, l.at, nil
}

// TestDirectoriesConverge draws any interleaving of registrations, removals,
// full and stale loads, watches, and deltas that are lost, kept back, doubled
// or reordered. No revision may fall, and a last exchange brings all level.
func TestDirectoriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := unlimited()
		directories := []*Directory{NewDirectory(), NewDirectory(), NewDirectory()}
		reached := make([]uint64, len(directories))
		var kept [][]byte
		var lists []list
		one := rapid.IntRange(0, len(directories)-1)
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
				lists = append(lists, list{objects: objects, at: at})
				_, _ = directories[one.Draw(t, "to")].Load(ctx, lists[len(lists)-1])
			},
			"stale load": func(t *rapid.T) {
				if len(lists) == 0 {
					return
				}
				old := lists[rapid.IntRange(0, len(lists)-1).Draw(t, "list")]
				_, _ = directories[one.Draw(t, "to")].Load(ctx, old)
			},
			"watch": func(t *rapid.T) {
				to := directories[one.Draw(t, "to")]
				changes, _, _ := store.Watch(ctx, to.WatchPrefix(), platform.Version(to.Revision()), 0)
				_ = to.ApplyChanges(ctx, store, changes)
			},
			"send": func(t *rapid.T) {
				since := directories[one.Draw(t, "to")].Revision()
				kept = append(kept, directories[one.Draw(t, "from")].Delta(since))
			},
			"receive": func(t *rapid.T) {
				if len(kept) == 0 {
					return
				}
				delta := kept[rapid.IntRange(0, len(kept)-1).Draw(t, "delta")]
				if _, err := directories[one.Draw(t, "to")].Apply(delta); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				for i, directory := range directories {
					if directory.Revision() < reached[i] {
						t.Fatalf("directory %d fell from %d to %d", i, reached[i], directory.Revision())
					}
					reached[i] = directory.Revision()
				}
			},
		})
		truth := NewDirectory()
		if _, err := truth.Load(ctx, store); err != nil {
			t.Fatal(err)
		}
		want, _ := truth.Records()
		if _, err := directories[0].Load(ctx, store); err != nil {
			t.Fatal(err)
		}
		for i, directory := range directories {
			if _, err := directory.Apply(directories[0].Delta(directory.Revision())); err != nil {
				t.Fatal(err)
			}
			if got, _ := directory.Records(); !reflect.DeepEqual(got, want) {
				t.Fatalf("directory %d ends with\n%v\nwant\n%v", i, got, want)
			}
		}
	})
}

// TestForgottenDeletions covers a peer that was away for more deletions than a
// directory remembers.
// Symptom: nodes that are long gone stay in the peer's view.
// Sequence: the peer has a node, is cut off, and the node and hundreds of
// others are removed; then it asks for what it lacks.
// Cause: deletions are remembered up to a bound.
func TestForgottenDeletions(t *testing.T) {
	store := unlimited()
	directory, away := NewDirectory(), NewDirectory()
	register(t, store, Record{Node: fleet.Node{Control: "127.0.0.1:1"}})
	for _, each := range []*Directory{directory, away} {
		if _, err := each.Load(t.Context(), store); err != nil {
			t.Fatal(err)
		}
	}
	for version := range platform.Version(maxTombstones + 1) {
		gone := platform.Object{Key: Key(fleet.Address(fmt.Sprintf("127.0.0.1:%d", version+1))), Version: version + 2}
		if err := directory.ApplyChanges(t.Context(), store, []platform.Change{{Object: gone, Deleted: true}}); err != nil {
			t.Fatal(err)
		}
	}
	if rose, err := away.Apply(directory.Delta(away.Revision())); !rose || err != nil {
		t.Fatal(rose, err)
	}
	if records, _ := away.Records(); len(records) != 0 {
		t.Fatalf("still there: %v", records)
	}
}
