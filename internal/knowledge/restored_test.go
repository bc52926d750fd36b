package knowledge

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// entryAt is an entry of a backend server, of so many that it has written.
func entryAt(id string, at Position, sequence uint64) Backend {
	return Backend{ID: id, Service: "s", Address: "10.0.0.1:1", Zone: "a", Position: at, Sequence: sequence}
}

// wentBackAgo lets the store have come back so long ago.
func wentBackAgo(state *State, passed time.Duration) {
	state.update(func(view *View) bool {
		view.RestoredAt = boottime.Now().Add(-passed)
		return false
	})
}

// A store that came back from an older copy gave out its revisions again. Lists below the
// greatest revision that a router had seen were ignored, and one at the same revision was
// taken for the same list, so that a backend server that left stayed in use for seconds:
// the records showed two different lists at revision 87.
func TestListOfANewerEraIsTakenWhateverItsRevision(t *testing.T) {
	for _, revision := range []uint64{3, 87, 90} {
		state := NewState()
		state.SetBackends([]Backend{entryAt("a", Position{1, 40}, 4)}, Position{1, 87}, boottime.Now())
		leaving := entryAt("a", Position{2, revision}, 9)
		leaving.Draining = true
		state.SetBackends([]Backend{leaving}, Position{2, revision}, boottime.Now())
		view := state.View()
		if !view.Backends["a"].Draining || view.Position != (Position{2, revision}) || view.RestoredAt == 0 {
			t.Errorf("%+v at %v after a list at revision %d", view.Backends["a"], view.Position, revision)
		}
	}
}

// Whatever order lists of several eras come in, from the store and from other routers, the
// newest position is in force at the end.
func TestNewestPositionIsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState()
		var newest Position
		for range rapid.IntRange(1, 12).Draw(t, "lists") {
			at := Position{Era: rapid.Uint64Range(1, 3).Draw(t, "era"), Revision: rapid.Uint64Range(1, 9).Draw(t, "revision")}
			newest = Newest(newest, at)
			entry := entryAt("a", at, 100*at.Era+at.Revision) // a server goes on counting
			state.SetBackends([]Backend{entry}, at, boottime.Now())
			view := state.View()
			if got := view.Backends["a"]; view.Position != newest || got.Position != newest {
				t.Fatalf("%+v at %v, want %v", got, view.Position, newest)
			}
		}
	})
}

// A watch of the store as it was before must not take servers out, or put them in, by
// changes that the store has lost.
func TestChangesOfAnOlderEraAreIgnored(t *testing.T) {
	state := NewState()
	state.SetBackends([]Backend{entryAt("a", Position{2, 5}, 4)}, Position{2, 5}, boottime.Now())
	other := entryAt("b", Position{1, 90}, 1)
	state.ApplyBackendChanges([]BackendChange{{ID: "a"}, {ID: "b", Entry: &other}}, Position{1, 90})
	if view := state.View(); view.Backends["a"] == nil || view.Backends["b"] != nil || view.Position != (Position{2, 5}) {
		t.Errorf("%v at %v", view.Backends, view.Position)
	}
}

// Requests would reach a backend server that is about to end: it had said that it leaves,
// and the copy from which the store came back has its entry from before. Its entries are
// numbered, so the older one is known for what it is until the server writes again.
func TestServerGoesOnLeavingWhenTheStoreForgets(t *testing.T) {
	state := NewState()
	leaving := entryAt("a", Position{1, 85}, 8)
	leaving.Draining = true
	state.SetBackends([]Backend{leaving}, Position{1, 87}, boottime.Now())
	for revision := range uint64(3) { // each list shows the older entry
		state.SetBackends([]Backend{entryAt("a", Position{2, 40}, 4)}, Position{2, 60 + revision}, boottime.Now())
		if !state.View().Backends["a"].Draining {
			t.Fatalf("in use again after list %d", revision)
		}
	}
	older := entryAt("a", Position{2, 63}, 5)
	state.ApplyBackendChanges([]BackendChange{{ID: "a", Entry: &older}}, Position{2, 63})
	if !state.View().Backends["a"].Draining {
		t.Error("in use again after a change that is older")
	}
	again := entryAt("a", Position{2, 64}, 9)
	state.ApplyBackendChanges([]BackendChange{{ID: "a", Entry: &again}}, Position{2, 64})
	if state.View().Backends["a"].Draining {
		t.Error("leaving after the server has written that it is ready")
	}
}

// A backend server that starts again under its id counts its entries anew. It must not
// stay out of use for longer than servers take to write their entries again.
func TestOlderEntryCountsOnceTheStoreIsSettled(t *testing.T) {
	state := NewState()
	leaving := entryAt("a", Position{1, 85}, 80)
	leaving.Draining = true
	state.SetBackends([]Backend{leaving}, Position{1, 87}, boottime.Now())
	state.SetBackends([]Backend{entryAt("a", Position{2, 60}, 1)}, Position{2, 60}, boottime.Now())
	wentBackAgo(state, rewriteTime)
	state.SetBackends([]Backend{entryAt("a", Position{2, 60}, 1)}, Position{2, 61}, boottime.Now())
	if state.View().Backends["a"].Draining {
		t.Error("out of use for good")
	}
}

// Another router tells a list of the new era in which it keeps an entry from before. It
// must not replace a newer one, whichever of the two has the greater revision.
func TestKeptEntryOfAnotherRouterReplacesNoNewerOne(t *testing.T) {
	state := NewState()
	state.SetBackends(nil, Position{1, 80}, boottime.Now())
	leaving := entryAt("a", Position{2, 61}, 9)
	leaving.Draining = true
	state.SetBackends([]Backend{leaving}, Position{2, 61}, boottime.Now())
	state.SetBackends([]Backend{entryAt("a", Position{1, 85}, 8)}, Position{2, 62}, boottime.Now())
	if !state.View().Backends["a"].Draining {
		t.Error("in use again by an entry of an older era")
	}
	state.SetBackends([]Backend{entryAt("a", Position{2, 55}, 8)}, Position{2, 63}, boottime.Now())
	if !state.View().Backends["a"].Draining {
		t.Error("in use again by an older entry of the same era")
	}
}

// Requests would break a backend server: it had said that it is cold, and the copy from
// which the store came back has its entry from when it was warm.
func TestServerStaysColdWhenTheStoreForgets(t *testing.T) {
	state := NewState()
	cold := entryAt("a", Position{1, 85}, 8)
	cold.ColdRemaining = time.Minute
	state.SetBackends([]Backend{cold}, Position{1, 87}, boottime.Now())
	until := state.View().Backends["a"].ColdUntil
	state.SetBackends([]Backend{entryAt("a", Position{2, 40}, 4)}, Position{2, 60}, boottime.Now())
	if got := state.View().Backends["a"].ColdUntil; got != until {
		t.Errorf("cold until %v, want %v", got, until)
	}
	cold.Position = Position{2, 61} // the same entry, written again
	state.SetBackends([]Backend{cold}, Position{2, 61}, boottime.Now())
	if got := state.View().Backends["a"].ColdUntil; got != until {
		t.Errorf("cold until %v after the same entry in the new era, want %v", got, until)
	}
	next := entryAt("a", Position{2, 62}, 9)
	next.ColdRemaining = time.Minute
	state.SetBackends([]Backend{next}, Position{2, 62}, boottime.Now())
	if got := state.View().Backends["a"].ColdUntil; got <= until {
		t.Errorf("cold until %v after a newer entry, want more than %v", got, until)
	}
}

// Requests would break a backend server that has just started again under its id, and
// counts its entries anew, while the store was away and came back from an older copy.
func TestColdServerThatCountsAnewIsCold(t *testing.T) {
	state := NewState()
	state.SetBackends([]Backend{entryAt("a", Position{1, 85}, 80)}, Position{1, 87}, boottime.Now())
	again := entryAt("a", Position{2, 61}, 1)
	again.ColdRemaining = time.Minute
	state.SetBackends([]Backend{again}, Position{2, 61}, boottime.Now())
	if state.View().Backends["a"].ColdUntil == 0 {
		t.Error("it is taken for warm")
	}
}

// A cold server's next entry may have, in another era, the revision of the known one. It
// is another entry all the same, and its time counts.
func TestColdTimeUnderAReusedRevision(t *testing.T) {
	state := NewState()
	cold := entryAt("a", Position{1, 61}, 8)
	cold.ColdRemaining = time.Minute
	state.SetBackends([]Backend{cold}, Position{1, 61}, boottime.Now())
	until := state.View().Backends["a"].ColdUntil
	next := entryAt("a", Position{2, 61}, 9)
	next.ColdRemaining = time.Minute
	state.SetBackends([]Backend{next}, Position{2, 61}, boottime.Now())
	if got := state.View().Backends["a"].ColdUntil; got <= until {
		t.Errorf("cold until %v, want more than %v", got, until)
	}
}

// Requests would reach an address at which nobody is any more: a backend server has gone,
// and the copy from which the store came back still has it. One that is alive after all
// writes again, and counts on.
func TestServerThatHasGoneStaysGoneWhenTheStoreForgets(t *testing.T) {
	gone := map[string]func(state *State){
		"list":   func(state *State) { state.SetBackends(nil, Position{1, 87}, boottime.Now()) },
		"change": func(state *State) { state.ApplyBackendChanges([]BackendChange{{ID: "a"}}, Position{1, 87}) },
	}
	for name, remove := range gone {
		state := NewState()
		state.SetBackends([]Backend{entryAt("a", Position{1, 40}, 4)}, Position{1, 86}, boottime.Now())
		remove(state)
		state.SetBackends([]Backend{entryAt("a", Position{2, 40}, 4)}, Position{2, 60}, boottime.Now())
		if state.View().Backends["a"] != nil {
			t.Errorf("%s: back with the older copy", name)
		}
		alive := entryAt("a", Position{2, 61}, 7)
		state.ApplyBackendChanges([]BackendChange{{ID: "a", Entry: &alive}}, Position{2, 61})
		if state.View().Backends["a"] == nil {
			t.Errorf("%s: missing though it has written again", name)
		}
	}
}

// What is remembered of servers that have gone is bounded.
func TestRemovalsAreForgotten(t *testing.T) {
	state := NewState()
	state.SetBackends([]Backend{entryAt("a", Position{1, 1}, 1), entryAt("b", Position{1, 1}, 1)}, Position{1, 1}, boottime.Now())
	state.ApplyBackendChanges([]BackendChange{{ID: "a"}}, Position{1, 2})
	state.update(func(view *View) bool {
		view.removed = map[string]removal{"a": {entry: view.removed["a"].entry, at: boottime.Now().Add(-removalLife)}}
		return false
	})
	state.ApplyBackendChanges([]BackendChange{{ID: "b"}}, Position{1, 3})
	if removed := state.View().removed; len(removed) != 1 || removed["b"].entry == nil {
		t.Errorf("%v are remembered", removed)
	}
}

// Callers would find no backend server: some had come in the seconds that the store has
// lost, and it takes them a moment to write their entries again.
func TestServersThatTheStoreForgetsStayForAMoment(t *testing.T) {
	state := NewState()
	state.SetBackends([]Backend{entryAt("a", Position{1, 85}, 1)}, Position{1, 87}, boottime.Now())
	state.SetBackends(nil, Position{2, 60}, boottime.Now())
	view := state.View()
	if _, absent := view.MissingSince["a"]; !absent || view.Backends["a"] == nil {
		t.Errorf("%v listed, %v missed", view.Backends, view.MissingSince)
	}
	if got := view.RetainedFromOlderEra(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("%v kept", got)
	}
}

// Requests would go into a zone that the operator has emptied: the copy from which the
// store came back is from before the order. The operator writes it again.
func TestZoneStaysEvacuatedForAMomentWhenTheStoreForgets(t *testing.T) {
	state := zoned("a", "b")
	state.SetEvacuations([]fleet.Zone{"a"}, Position{1, 87}, boottime.Now())
	state.SetEvacuations(nil, Position{2, 60}, boottime.Now())
	if got := serving(state); !slices.Equal(got, []string{"i-b"}) {
		t.Errorf("%v serve after the store has lost the order", got)
	}
	state.SetEvacuations([]fleet.Zone{"a"}, Position{2, 61}, boottime.Now())
	state.SetEvacuations(nil, Position{2, 62}, boottime.Now())
	if got := serving(state); !slices.Equal(got, []string{"i-a", "i-b"}) {
		t.Errorf("%v serve after the zone was taken back", got)
	}
}

// A zone that the operator does not evacuate again is back in use soon.
func TestZoneIsTakenBackWhenTheOrderIsNotWrittenAgain(t *testing.T) {
	state := zoned("a", "b")
	state.SetEvacuations([]fleet.Zone{"a"}, Position{1, 87}, boottime.Now())
	state.SetEvacuations(nil, Position{2, 60}, boottime.Now())
	state.update(func(view *View) bool {
		view.Evacuations.held = map[fleet.Zone]boottime.Instant{"a": boottime.Now()}
		return false
	})
	state.SetEvacuations(nil, Position{2, 60}, boottime.Now())
	if got := serving(state); !slices.Equal(got, []string{"i-a", "i-b"}) {
		t.Errorf("%v serve", got)
	}
}
