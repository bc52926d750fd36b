package knowledge

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// entryAt returns the entry of a backend server with the position and sequence.
func entryAt(id string, at Position, sequence uint64) Backend {
	return Backend{ID: id, Service: "s", Address: "10.0.0.1:1", Zone: "a", Position: at, Sequence: sequence}
}

// setRestoredAgo sets the time since the restore of the store.
func setRestoredAgo(state *State, passed time.Duration) {
	state.update(func(view *View) bool {
		view.RestoredAt = boottime.Now().Add(-passed)
		return false
	})
}

// A store restored from an older copy assigns its revisions again. Lists below the greatest
// known revision were ignored, and one at the same revision was taken for the same list, so
// that a draining backend server stayed in use for seconds.
func TestListOfANewerEraIsAppliedWhateverItsRevision(t *testing.T) {
	for _, revision := range []uint64{3, 87, 90} {
		state := NewState()
		state.SetBackends([]Backend{entryAt("a", Position{1, 40}, 4)}, Position{1, 87}, boottime.Now())
		draining := entryAt("a", Position{2, revision}, 9)
		draining.Draining = true
		state.SetBackends([]Backend{draining}, Position{2, revision}, boottime.Now())
		view := state.View()
		if !view.Backends["a"].Draining || view.Position != (Position{2, revision}) || view.RestoredAt == 0 {
			t.Errorf("%+v at %v after a list at revision %d", view.Backends["a"], view.Position, revision)
		}
	}
}

// The newest position is in force, in whatever order lists of several eras arrive from the
// store and from other routers.
func TestNewestPositionIsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState()
		var newest Position
		for range rapid.IntRange(1, 12).Draw(t, "lists") {
			at := Position{Era: rapid.Uint64Range(1, 3).Draw(t, "era"), Revision: rapid.Uint64Range(1, 9).Draw(t, "revision")}
			newest = Newest(newest, at)
			entry := entryAt("a", at, 100*at.Era+at.Revision) // servers keep incrementing across eras
			state.SetBackends([]Backend{entry}, at, boottime.Now())
			view := state.View()
			if got := view.Backends["a"]; view.Position != newest || got.Position != newest {
				t.Fatalf("%+v at %v, want %v", got, view.Position, newest)
			}
		}
	})
}

// A watch of the store as it was before a restore must not add or remove servers by changes
// that the store has lost.
func TestChangesOfAnOlderEraAreIgnored(t *testing.T) {
	state := NewState()
	state.SetBackends([]Backend{entryAt("a", Position{2, 5}, 4)}, Position{2, 5}, boottime.Now())
	other := entryAt("b", Position{1, 90}, 1)
	state.ApplyBackendChanges([]BackendChange{{ID: "a"}, {ID: "b", Entry: &other}}, Position{1, 90})
	if view := state.View(); view.Backends["a"] == nil || view.Backends["b"] != nil || view.Position != (Position{2, 5}) {
		t.Errorf("%v at %v", view.Backends, view.Position)
	}
}

// A backend server drains, and the restored copy of the store has its entry from before.
// The older sequence number must be recognized until the server writes again, or requests
// would reach a server that is about to stop.
func TestServerKeepsDrainingAfterRestore(t *testing.T) {
	state := NewState()
	draining := entryAt("a", Position{1, 85}, 8)
	draining.Draining = true
	state.SetBackends([]Backend{draining}, Position{1, 87}, boottime.Now())
	for revision := range uint64(3) { // each list has the older entry
		state.SetBackends([]Backend{entryAt("a", Position{2, 40}, 4)}, Position{2, 60 + revision}, boottime.Now())
		if !state.View().Backends["a"].Draining {
			t.Fatalf("no longer draining after list %d", revision)
		}
	}
	older := entryAt("a", Position{2, 63}, 5)
	state.ApplyBackendChanges([]BackendChange{{ID: "a", Entry: &older}}, Position{2, 63})
	if !state.View().Backends["a"].Draining {
		t.Error("no longer draining after an older change")
	}
	newer := entryAt("a", Position{2, 64}, 9)
	state.ApplyBackendChanges([]BackendChange{{ID: "a", Entry: &newer}}, Position{2, 64})
	if state.View().Backends["a"].Draining {
		t.Error("still draining after the server wrote that it is ready")
	}
}

// A backend server that restarts under its ID resets its sequence. It must not stay out of
// use for longer than servers take to repeat their writes.
func TestOlderEntryIsAcceptedAfterRewriteTimeout(t *testing.T) {
	state := NewState()
	draining := entryAt("a", Position{1, 85}, 80)
	draining.Draining = true
	state.SetBackends([]Backend{draining}, Position{1, 87}, boottime.Now())
	state.SetBackends([]Backend{entryAt("a", Position{2, 60}, 1)}, Position{2, 60}, boottime.Now())
	setRestoredAgo(state, rewriteTimeout)
	state.SetBackends([]Backend{entryAt("a", Position{2, 60}, 1)}, Position{2, 61}, boottime.Now())
	if state.View().Backends["a"].Draining {
		t.Error("still draining after the rewrite timeout")
	}
}

// Another router sends a list of the new era with an entry that it retained from before. It
// must not replace a newer entry, whichever of the two has the greater revision.
func TestRetainedEntryOfAnotherRouterReplacesNoNewerOne(t *testing.T) {
	state := NewState()
	state.SetBackends(nil, Position{1, 80}, boottime.Now())
	draining := entryAt("a", Position{2, 61}, 9)
	draining.Draining = true
	state.SetBackends([]Backend{draining}, Position{2, 61}, boottime.Now())
	state.SetBackends([]Backend{entryAt("a", Position{1, 85}, 8)}, Position{2, 62}, boottime.Now())
	if !state.View().Backends["a"].Draining {
		t.Error("no longer draining after an entry of an older era")
	}
	state.SetBackends([]Backend{entryAt("a", Position{2, 55}, 8)}, Position{2, 63}, boottime.Now())
	if !state.View().Backends["a"].Draining {
		t.Error("no longer draining after an older entry of the same era")
	}
}

// A backend server is cold, and the restored copy of the store has its entry from when it
// was warm. If the older entry counted, requests would crash the server.
func TestServerStaysColdAfterRestore(t *testing.T) {
	state := NewState()
	cold := entryAt("a", Position{1, 85}, 8)
	cold.ColdRemaining = time.Minute
	state.SetBackends([]Backend{cold}, Position{1, 87}, boottime.Now())
	until := state.View().Backends["a"].ColdUntil
	state.SetBackends([]Backend{entryAt("a", Position{2, 40}, 4)}, Position{2, 60}, boottime.Now())
	if got := state.View().Backends["a"].ColdUntil; got != until {
		t.Errorf("cold until %v, want %v", got, until)
	}
	cold.Position = Position{2, 61} // the same entry, written again after the restore
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

// A backend server restarts under its ID and resets its sequence while the store is
// restored from an older copy. If it were taken for warm, requests would crash it.
func TestRestartedColdServerIsColdAfterRestore(t *testing.T) {
	state := NewState()
	state.SetBackends([]Backend{entryAt("a", Position{1, 85}, 80)}, Position{1, 87}, boottime.Now())
	restarted := entryAt("a", Position{2, 61}, 1)
	restarted.ColdRemaining = time.Minute
	state.SetBackends([]Backend{restarted}, Position{2, 61}, boottime.Now())
	if state.View().Backends["a"].ColdUntil == 0 {
		t.Error("the restarted server is not cold")
	}
}

// The next entry of a cold server may have the same revision in another era. It is a
// different entry, and its cold time counts.
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

// A backend server was removed, and the restored copy of the store still has it. Requests
// to it would reach an address that is no longer in use. A server that is alive after all
// writes again with a greater sequence.
func TestRemovedServerStaysRemovedAfterRestore(t *testing.T) {
	removals := map[string]func(state *State){
		"list":   func(state *State) { state.SetBackends(nil, Position{1, 87}, boottime.Now()) },
		"change": func(state *State) { state.ApplyBackendChanges([]BackendChange{{ID: "a"}}, Position{1, 87}) },
	}
	for name, remove := range removals {
		state := NewState()
		state.SetBackends([]Backend{entryAt("a", Position{1, 40}, 4)}, Position{1, 86}, boottime.Now())
		remove(state)
		state.SetBackends([]Backend{entryAt("a", Position{2, 40}, 4)}, Position{2, 60}, boottime.Now())
		if state.View().Backends["a"] != nil {
			t.Errorf("%s: listed again with the older copy", name)
		}
		alive := entryAt("a", Position{2, 61}, 7)
		state.ApplyBackendChanges([]BackendChange{{ID: "a", Entry: &alive}}, Position{2, 61})
		if state.View().Backends["a"] == nil {
			t.Errorf("%s: missing though it has written again", name)
		}
	}
}

// Memory for removed servers is bounded.
func TestRemovalsAreForgotten(t *testing.T) {
	state := NewState()
	state.SetBackends([]Backend{entryAt("a", Position{1, 1}, 1), entryAt("b", Position{1, 1}, 1)}, Position{1, 1}, boottime.Now())
	state.ApplyBackendChanges([]BackendChange{{ID: "a"}}, Position{1, 2})
	state.update(func(view *View) bool {
		view.removed = map[string]removal{"a": {entry: view.removed["a"].entry, removedAt: boottime.Now().Add(-removalTTL)}}
		return false
	})
	state.ApplyBackendChanges([]BackendChange{{ID: "b"}}, Position{1, 3})
	if removed := state.View().removed; len(removed) != 1 || removed["b"].entry == nil {
		t.Errorf("%v are remembered", removed)
	}
}

// Servers that joined in the seconds that a restore has lost must stay in use until they
// have written their entries again, or callers would find no backend server.
func TestServersLostByTheStoreAreRetainedBriefly(t *testing.T) {
	state := NewState()
	state.SetBackends([]Backend{entryAt("a", Position{1, 85}, 1)}, Position{1, 87}, boottime.Now())
	state.SetBackends(nil, Position{2, 60}, boottime.Now())
	view := state.View()
	if _, missing := view.MissingSince["a"]; !missing || view.Backends["a"] == nil {
		t.Errorf("%v listed, %v missing", view.Backends, view.MissingSince)
	}
	if got := view.RetainedFromOlderEra(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("%v retained", got)
	}
}

// A zone is evacuated, and the restored copy of the store is from before. The zone must
// stay evacuated until the operator has written the evacuation again, or requests would be
// sent into it.
func TestZoneStaysEvacuatedBrieflyAfterRestore(t *testing.T) {
	state := zoned("a", "b")
	state.SetEvacuations([]fleet.Zone{"a"}, Position{1, 87}, boottime.Now())
	state.SetEvacuations(nil, Position{2, 60}, boottime.Now())
	if got := serving(state); !slices.Equal(got, []string{"i-b"}) {
		t.Errorf("%v serve after the store lost the evacuation", got)
	}
	state.SetEvacuations([]fleet.Zone{"a"}, Position{2, 61}, boottime.Now())
	state.SetEvacuations(nil, Position{2, 62}, boottime.Now())
	if got := serving(state); !slices.Equal(got, []string{"i-a", "i-b"}) {
		t.Errorf("%v serve after the zone returned to use", got)
	}
}

// A zone whose evacuation is not written again after a restore returns to use soon.
func TestZoneReturnsWhenTheEvacuationIsNotRewritten(t *testing.T) {
	state := zoned("a", "b")
	state.SetEvacuations([]fleet.Zone{"a"}, Position{1, 87}, boottime.Now())
	state.SetEvacuations(nil, Position{2, 60}, boottime.Now())
	state.update(func(view *View) bool {
		view.Evacuations.retainedUntil = map[fleet.Zone]boottime.Instant{"a": boottime.Now()}
		return false
	})
	state.SetEvacuations(nil, Position{2, 60}, boottime.Now())
	if got := serving(state); !slices.Equal(got, []string{"i-a", "i-b"}) {
		t.Errorf("%v serve", got)
	}
}
