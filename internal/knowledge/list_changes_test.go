package knowledge

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// storedList is the list of backend servers as a store holds it.
type storedList struct {
	at      Position
	entries map[string]Backend
}

// write writes, leaves or removes one drawn entry.
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

func (s *storedList) whole() []Backend {
	whole := make([]Backend, 0, len(s.entries))
	for _, entry := range s.entries {
		whole = append(whole, entry)
	}
	return whole
}

// Guards against a router whose list drifts from the store's: whatever a router that
// follows the store was told, by watches or lists, the changes that it tells since any
// position lead to the store's list, also if they are taken twice.
func TestChangesLeadToTheWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := &storedList{at: Position{Era: 1, Revision: 1}, entries: make(map[string]Backend)}
		following, behind := NewState(), NewState()
		now := boottime.Now()
		following.SetBackends(nil, stored.at, now)
		behind.SetBackends(nil, stored.at, now)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			change := stored.write(t)
			switch rapid.IntRange(0, 2).Draw(t, "told by") {
			case 0:
				following.SetBackends(stored.whole(), stored.at, now)
			default:
				following.ApplyBackendChanges([]BackendChange{change}, stored.at)
			}
			if rapid.Bool().Draw(t, "catches up") {
				catchUp(t, behind, following)
				assertList(t, behind.View(), stored)
			}
		}
		catchUp(t, behind, following)
		assertList(t, behind.View(), stored)
		assertList(t, following.View(), stored)
	})
}

// catchUp takes the changes twice.
func catchUp(t *rapid.T, behind, following *State) {
	changes, ok := following.View().ChangesSince(behind.View().Position)
	if !ok {
		t.Fatalf("no changes since %v", behind.View().Position)
	}
	for range 2 {
		if !behind.ApplyListChanges(changes, boottime.Now()) {
			t.Fatalf("changes %+v were not taken at %v", changes, behind.View().Position)
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

// Guards against changes with a gap: where removals have been forgotten, the store has
// come back from an older copy, or the asking router knows more, the whole list is taken.
func TestChangesWithAGapAreNotTold(t *testing.T) {
	state := NewState()
	if _, ok := state.View().ChangesSince(Position{}); ok {
		t.Error("changes are told by a router that has no list")
	}
	state.SetBackends([]Backend{entryAt("a", Position{1, 3}, 1), entryAt("b", Position{1, 3}, 1)}, Position{1, 5}, boottime.Now())
	state.ApplyBackendChanges([]BackendChange{{ID: "a"}}, Position{1, 7})
	state.update(func(view *View) bool {
		forgotten := view.removed["a"]
		forgotten.at = boottime.Now().Add(-removalLife)
		view.removed = map[string]removal{"a": forgotten}
		return false
	})
	state.ApplyBackendChanges([]BackendChange{{ID: "b"}}, Position{1, 9})
	for since, want := range map[Position]bool{{1, 4}: false, {1, 6}: false, {1, 7}: true, {1, 9}: true, {1, 10}: false, {2, 1}: false} {
		if _, ok := state.View().ChangesSince(since); ok != want {
			t.Errorf("since %v: told %t, want %t", since, ok, want)
		}
	}
	state.SetBackends(nil, Position{2, 8}, boottime.Now())
	if _, ok := state.View().ChangesSince(Position{1, 9}); ok {
		t.Error("changes are told across eras")
	}
}

// Guards against backend servers that vanish after an outage though they live: those that
// are only missed are told as such, and stay for the same moment at the router that is told.
func TestMissedServersStayForAMomentWhereTheyAreTold(t *testing.T) {
	entries := []Backend{entryAt("a", Position{1, 3}, 1), entryAt("b", Position{1, 3}, 1)}
	before := boottime.Now().Add(-2 * outageLeast)
	following, told := NewState(), NewState()
	following.SetBackends(entries, Position{1, 5}, before)
	told.SetBackends(entries, Position{1, 5}, before)
	following.SetBackends(entries[:1], Position{1, 8}, boottime.Now())
	take := func() {
		changes, ok := following.View().ChangesSince(told.View().Position)
		if !ok || !told.ApplyListChanges(changes, boottime.Now()) {
			t.Fatalf("changes were not taken, told %t", ok)
		}
	}
	take()
	if view := told.View(); view.Backends["b"] == nil || view.MissingSince["b"] == 0 {
		t.Fatalf("b is not kept: %v", ids(view))
	}
	for _, state := range []*State{following, told} {
		state.update(func(view *View) bool {
			view.MissingSince = map[string]boottime.Instant{"b": boottime.Now().Add(-lapseGrace)}
			return false
		})
	}
	take()
	if view := told.View(); view.Backends["b"] != nil || len(view.MissingSince) > 0 {
		t.Errorf("b is still listed: %v", ids(view))
	}
}

// Guards against servers that stay in use after they were lost: where lists come as seldom
// as a wide bound allows, an old list does not mean that the store was away.
func TestOldListMeansAnOutageByTheBound(t *testing.T) {
	const renewed = 4 * time.Second
	for age, kept := range map[time.Duration]bool{renewed - time.Second/2: false, renewed + time.Second: true} {
		state := NewState()
		state.SetListRefreshInterval(renewed)
		now := boottime.Now()
		state.SetBackends([]Backend{entryAt("a", Position{1, 3}, 1)}, Position{1, 5}, now.Add(-age))
		state.ApplyListChanges(ListChanges{Since: Position{1, 5}, UpTo: Position{1, 8}, Removed: []string{"a"}}, now)
		if listed := state.View().Backends["a"] != nil; listed != kept {
			t.Errorf("list %v old: the removed server is listed %t, want %t", age, listed, kept)
		}
	}
}

// BenchmarkTakeChanges takes one change of a long list, as a change and as a whole list.
func BenchmarkTakeChanges(b *testing.B) {
	const servers = 3000
	whole := make([]Backend, servers)
	for i := range whole {
		whole[i] = entryAt(fmt.Sprint("i-", i), Position{1, 1}, 1)
	}
	for _, name := range []string{"whole", "change"} {
		b.Run(name, func(b *testing.B) {
			state := NewState()
			state.SetBackends(append([]Backend(nil), whole...), Position{1, 1}, boottime.Now())
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
				list := append([]Backend(nil), whole...)
				list[7] = changed
				state.SetBackends(list, at, boottime.Now())
			}
		})
	}
}
