package knowledge

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// entryAt is an entry of a backend server.
func entryAt(id string, at Position) Backend {
	return Backend{ID: id, Service: "s", Address: "10.0.0.1:1", Zone: "a", Position: at}
}

// A store that came back from an older copy gave out its revisions again. Lists below the
// greatest revision that a router had seen were ignored, and one at the same revision was
// taken for the same list, so that a backend server that left stayed in use for seconds:
// the records showed two different lists at revision 87.
func TestListOfANewerEraIsTakenWhateverItsRevision(t *testing.T) {
	for _, revision := range []uint64{3, 87, 90} {
		state := NewState()
		state.SetBackends([]Backend{entryAt("a", Position{1, 40})}, Position{1, 87}, boottime.Now())
		leaving := entryAt("a", Position{2, revision})
		leaving.Leaving = true
		state.SetBackends([]Backend{leaving}, Position{2, revision}, boottime.Now())
		view := state.View()
		if !view.Backends["a"].Leaving || view.Position != (Position{2, revision}) || view.WentBack == 0 {
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
			entry := entryAt("a", at)
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
	state.SetBackends([]Backend{entryAt("a", Position{2, 5})}, Position{2, 5}, boottime.Now())
	other := entryAt("b", Position{1, 90})
	state.ChangeBackends([]BackendChange{{ID: "a"}, {ID: "b", Entry: &other}}, Position{1, 90})
	if view := state.View(); view.Backends["a"] == nil || view.Backends["b"] != nil || view.Position != (Position{2, 5}) {
		t.Errorf("%v at %v", view.Backends, view.Position)
	}
}
