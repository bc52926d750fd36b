package knowledge

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// zoned returns a state with one backend server in each of the zones.
func zoned(zones ...fleet.Zone) *State {
	state := NewState()
	state.SetConfiguration(configuration(1), boottime.Now())
	var backends []Backend
	for _, zone := range zones {
		backends = append(backends, Backend{ID: "i-" + string(zone), Service: "s", Zone: zone})
	}
	state.SetBackends(backends, Position{Revision: 1}, boottime.Now())
	return state
}

func serving(state *State) []string {
	var ids []string
	for _, backend := range state.View().Serving["s"] {
		ids = append(ids, backend.ID)
	}
	return ids
}

// Symptom: requests reach the backend servers of an evacuated zone.
// Events: the operator evacuates a zone; later a new backend server appears there.
// Cause: evacuations were not known, or taken once only.
func TestEvacuatedZonesServeNothing(t *testing.T) {
	state := zoned("a", "b")
	state.SetEvacuations([]fleet.Zone{"a"}, Position{Revision: 5}, boottime.Now())
	setBackend(state, Backend{ID: "i-new", Service: "s", Zone: "a"}, 6)
	if got := serving(state); !slices.Equal(got, []string{"i-b"}) {
		t.Errorf("%v serve", got)
	}
	state.SetEvacuations(nil, Position{Revision: 7}, boottime.Now())
	if got := serving(state); !slices.Equal(got, []string{"i-a", "i-b", "i-new"}) {
		t.Errorf("%v serve after the zone was taken back", got)
	}
	if at := state.View().Evacuations.ReturnedAt["a"]; boottime.Now().Sub(at) > time.Second {
		t.Errorf("taken back at %v", at)
	}
}

// Symptom: a router that has just started sends requests into an evacuated zone.
// Events: it knows the configuration and the list before the evacuations.
// Cause: it was ready without them.
func TestNothingIsAnsweredBeforeEvacuationsAreKnown(t *testing.T) {
	state := zoned("a")
	state.RequireEvacuations()
	if state.View().Ready() {
		t.Error("ready without evacuations")
	}
	state.SetEvacuations([]fleet.Zone{"a"}, Position{Revision: 3}, 0)
	if state.View().Ready() {
		t.Error("ready by evacuations of unknown age")
	}
	state.ConfirmEvacuations([]fleet.Zone{"a"}, boottime.Now())
	if !state.View().Ready() {
		t.Error("not ready though all is known")
	}
}

// Whatever order messages come in, and however often, the newest revision holds.
func TestNewestEvacuationsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []fleet.Zone{"a", "b", "c"}
		history := make([][]fleet.Zone, rapid.IntRange(1, 6).Draw(t, "changes"))
		for i := range history {
			history[i] = rapid.SliceOfDistinct(rapid.SampledFrom(zones), rapid.ID).Draw(t, "zones")
		}
		state := zoned(zones...)
		newest := -1
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			told := rapid.IntRange(0, len(history)-1).Draw(t, "told")
			newest = max(newest, told)
			state.SetEvacuations(history[told], Position{Revision: uint64(told + 1)}, boottime.Now())
			for _, zone := range zones {
				want := slices.Contains(history[newest], zone)
				if got := state.View().Evacuations.Has(zone); got != want {
					t.Fatalf("zone %s evacuated: %t, want %t", zone, got, want)
				}
			}
		}
	})
}

// Symptom: backend servers of a zone that was taken back long ago count as cold for
// ever.
// Events: routers tell each other when the zone was taken back, and each message
// takes some time on its way.
// Cause: each took the other's later moment.
func TestReturnIsNotShiftedByMessages(t *testing.T) {
	first, second := zoned("a"), zoned("a")
	first.SetEvacuations([]fleet.Zone{"a"}, Position{Revision: 1}, boottime.Now())
	first.SetEvacuations(nil, Position{Revision: 2}, boottime.Now())
	returned := first.View().Evacuations.ReturnedAt["a"]
	for range 100 {
		for _, told := range [][2]*State{{first, second}, {second, first}} {
			late := map[fleet.Zone]boottime.Instant{"a": told[0].View().Evacuations.ReturnedAt["a"].Add(200 * time.Millisecond)}
			told[1].MergeReturnedZones(late)
		}
	}
	if got := first.View().Evacuations.ReturnedAt["a"]; got != returned {
		t.Errorf("shifted by %v", got.Sub(returned))
	}
	if got := second.View().Evacuations.ReturnedAt["a"]; got.Sub(returned) != 200*time.Millisecond {
		t.Errorf("the other router puts it %v later", got.Sub(returned))
	}
}
