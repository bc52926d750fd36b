package knowledge

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// storedList is the list of backend servers in a model of the store.
type storedList struct {
	at      Position
	entries map[string]Backend
}

// write adds, updates or removes one drawn entry.
func (s *storedList) write(t *rapid.T) BackendChange {
	s.at.Revision += rapid.Uint64Range(1, 4).Draw(t, "revisions")
	id := fmt.Sprint("i-", rapid.IntRange(0, 5).Draw(t, "id"))
	if rapid.IntRange(0, 2).Draw(t, "removed") == 0 {
		delete(s.entries, id)
		return BackendChange{ID: id}
	}
	entry := entryAt(id, s.at, s.at.Revision)
	entry.Draining = rapid.Bool().Draw(t, "leaving")
	s.entries[id] = entry
	return BackendChange{ID: id, Entry: &entry}
}

func (s *storedList) list() []Backend {
	entries := make([]Backend, 0, len(s.entries))
	for _, entry := range s.entries {
		entries = append(entries, entry)
	}
	return entries
}

// Guards against a list that diverges from the store's. A router that watches the store
// gets drawn updates as watch events or as lists. Its changes since any position must lead
// to the store's list, also if they are applied twice.
func TestChangesLeadToTheCompleteList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := &storedList{at: Position{Era: 1, Revision: 1}, entries: make(map[string]Backend)}
		watcher, lagging := NewState(), NewState()
		now := boottime.Now()
		watcher.SetBackends(nil, stored.at, now)
		lagging.SetBackends(nil, stored.at, now)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			change := stored.write(t)
			switch rapid.IntRange(0, 2).Draw(t, "received as") {
			case 0:
				watcher.SetBackends(stored.list(), stored.at, now)
			default:
				watcher.ApplyBackendChanges([]BackendChange{change}, stored.at)
			}
			if rapid.Bool().Draw(t, "catches up") {
				catchUp(t, lagging, watcher)
				assertList(t, lagging.View(), stored)
			}
		}
		catchUp(t, lagging, watcher)
		assertList(t, lagging.View(), stored)
		assertList(t, watcher.View(), stored)
	})
}

// catchUp applies the changes twice.
func catchUp(t *rapid.T, lagging, watcher *State) {
	changes, ok := watcher.View().ChangesSince(lagging.View().Position)
	if !ok {
		t.Fatalf("no changes since %v", lagging.View().Position)
	}
	for range 2 {
		if !lagging.ApplyListChanges(changes, boottime.Now()) {
			t.Fatalf("changes %+v were not applied at %v", changes, lagging.View().Position)
		}
	}
}

func assertList(t *rapid.T, view *View, stored *storedList) {
	if len(view.Backends) != len(stored.entries) || view.Position != stored.at {
		t.Fatalf("%d backend servers at %v, want %d at %v", len(view.Backends), view.Position, len(stored.entries), stored.at)
	}
	for id, want := range stored.entries {
		if got := view.Backends[id]; got == nil || got.Draining != want.Draining || got.Position != want.Position {
			t.Fatalf("%s is %+v, want %+v", id, got, want)
		}
	}
}

// Guards against gaps in the changes. The complete list is needed if removals were
// forgotten, the store was restored from an older copy, or the asking router has a newer
// position.
func TestChangesAreNotServedAcrossAGap(t *testing.T) {
	state := NewState()
	if _, ok := state.View().ChangesSince(Position{}); ok {
		t.Error("a router without a list returned changes")
	}
	state.SetBackends([]Backend{entryAt("a", Position{1, 3}, 1), entryAt("b", Position{1, 3}, 1)}, Position{1, 5}, boottime.Now())
	state.ApplyBackendChanges([]BackendChange{{ID: "a"}}, Position{1, 7})
	state.update(func(view *View) bool {
		forgotten := view.removed["a"]
		forgotten.removedAt = boottime.Now().Add(-removalTTL)
		view.removed = map[string]removal{"a": forgotten}
		return false
	})
	state.ApplyBackendChanges([]BackendChange{{ID: "b"}}, Position{1, 9})
	for since, want := range map[Position]bool{{1, 4}: false, {1, 6}: false, {1, 7}: true, {1, 9}: true, {1, 10}: false, {2, 1}: false} {
		if _, ok := state.View().ChangesSince(since); ok != want {
			t.Errorf("changes since %v returned: %t, want %t", since, ok, want)
		}
	}
	state.SetBackends(nil, Position{2, 8}, boottime.Now())
	if _, ok := state.View().ChangesSince(Position{1, 9}); ok {
		t.Error("changes were returned across eras")
	}
}

// Guards against live backend servers that vanish after an outage. Servers that are only
// missing are sent as removed, and the router that receives the changes must retain them
// for the same grace.
func TestMissingServersAreRetainedByTheReceiver(t *testing.T) {
	entries := []Backend{entryAt("a", Position{1, 3}, 1), entryAt("b", Position{1, 3}, 1)}
	before := boottime.Now().Add(-2 * minOutageAge)
	sender, receiver := NewState(), NewState()
	sender.SetBackends(entries, Position{1, 5}, before)
	receiver.SetBackends(entries, Position{1, 5}, before)
	sender.SetBackends(entries[:1], Position{1, 8}, boottime.Now())
	transfer := func() {
		changes, ok := sender.View().ChangesSince(receiver.View().Position)
		if !ok || !receiver.ApplyListChanges(changes, boottime.Now()) {
			t.Fatalf("changes were not applied, returned %t", ok)
		}
	}
	transfer()
	if view := receiver.View(); view.Backends["b"] == nil || view.MissingSince["b"] == 0 {
		t.Fatalf("b is not retained: %v", ids(view))
	}
	for _, state := range []*State{sender, receiver} {
		state.update(func(view *View) bool {
			view.MissingSince = map[string]boottime.Instant{"b": boottime.Now().Add(-missingGrace)}
			return false
		})
	}
	transfer()
	if view := receiver.View(); view.Backends["b"] != nil || len(view.MissingSince) > 0 {
		t.Errorf("b is still listed: %v", ids(view))
	}
}

// Guards against removed servers that stay in use. Where lists are refreshed rarely, an old
// list does not mean that the store was unavailable.
func TestOutageIsAssumedBeyondTheRefreshInterval(t *testing.T) {
	const refreshInterval = 4 * time.Second
	for age, retained := range map[time.Duration]bool{refreshInterval - time.Second/2: false, refreshInterval + time.Second: true} {
		state := NewState()
		state.SetListRefreshInterval(refreshInterval)
		now := boottime.Now()
		state.SetBackends([]Backend{entryAt("a", Position{1, 3}, 1)}, Position{1, 5}, now.Add(-age))
		state.ApplyListChanges(ListChanges{Since: Position{1, 5}, UpTo: Position{1, 8}, Removed: []string{"a"}}, now)
		if listed := state.View().Backends["a"] != nil; listed != retained {
			t.Errorf("list %v old: the removed server is listed: %t, want %t", age, listed, retained)
		}
	}
}

// BenchmarkTakeChanges applies one change of a long list, as a change and as a complete
// list.
func BenchmarkTakeChanges(b *testing.B) {
	const servers = 3000
	complete := make([]Backend, servers)
	for i := range complete {
		complete[i] = entryAt(fmt.Sprint("i-", i), Position{1, 1}, 1)
	}
	for _, name := range []string{"whole", "change"} {
		b.Run(name, func(b *testing.B) {
			state := NewState()
			state.SetBackends(append([]Backend(nil), complete...), Position{1, 1}, boottime.Now())
			at := Position{1, 1}
			for b.Loop() {
				since := at
				at.Revision++
				changed := entryAt("i-7", at, at.Revision)
				changed.Draining = at.Revision%2 == 0
				if name == "change" {
					state.ApplyListChanges(ListChanges{Since: since, UpTo: at, Changed: []Backend{changed}}, boottime.Now())
					continue
				}
				list := append([]Backend(nil), complete...)
				list[7] = changed
				state.SetBackends(list, at, boottime.Now())
			}
		})
	}
}
