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

// Backend servers of an evacuated zone get no requests, including one that appears there
// after the evacuation. They are in use again once the zone returns.
func TestEvacuatedZonesGetNoRequests(t *testing.T) {
	state := zoned("a", "b")
	state.SetEvacuations([]fleet.Zone{"a"}, Position{Revision: 5}, boottime.Now())
	setBackend(state, Backend{ID: "i-new", Service: "s", Zone: "a"}, 6)
	if got := serving(state); !slices.Equal(got, []string{"i-b"}) {
		t.Errorf("%v serve", got)
	}
	state.SetEvacuations(nil, Position{Revision: 7}, boottime.Now())
	if got := serving(state); !slices.Equal(got, []string{"i-a", "i-b", "i-new"}) {
		t.Errorf("%v serve after the zone returned to use", got)
	}
	if at := state.View().Evacuations.ReturnedAt["a"]; boottime.Now().Sub(at) > time.Second {
		t.Errorf("returned at %v", at)
	}
}

// A router that has the configuration and the list but not yet the evacuations must not be
// ready, or it would send requests into an evacuated zone.
func TestNotReadyBeforeEvacuationsAreKnown(t *testing.T) {
	state := zoned("a")
	state.RequireEvacuations()
	if state.View().Ready() {
		t.Error("ready without evacuations")
	}
	state.SetEvacuations([]fleet.Zone{"a"}, Position{Revision: 3}, 0)
	if state.View().Ready() {
		t.Error("ready with evacuations of unknown age")
	}
	state.ConfirmEvacuations([]fleet.Zone{"a"}, boottime.Now())
	if !state.View().Ready() {
		t.Error("not ready though everything is known")
	}
}

// The newest revision is in force, in whatever order messages arrive and however often.
func TestNewestEvacuationsAreInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []fleet.Zone{"a", "b", "c"}
		history := make([][]fleet.Zone, rapid.IntRange(1, 6).Draw(t, "changes"))
		for i := range history {
			history[i] = rapid.SliceOfDistinct(rapid.SampledFrom(zones), rapid.ID).Draw(t, "zones")
		}
		state := zoned(zones...)
		newest := -1
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			message := rapid.IntRange(0, len(history)-1).Draw(t, "told")
			newest = max(newest, message)
			state.SetEvacuations(history[message], Position{Revision: uint64(message + 1)}, boottime.Now())
			for _, zone := range zones {
				want := slices.Contains(history[newest], zone)
				if got := state.View().Evacuations.Has(zone); got != want {
					t.Fatalf("zone %s evacuated: %t, want %t", zone, got, want)
				}
			}
		}
	})
}

// Routers report to each other when a zone returned, with the delay of the message. If each
// adopted the other's later time, it would move forward without end and the zone's backend
// servers would count as cold permanently.
func TestReturnTimeIsNotShiftedByMessages(t *testing.T) {
	first, second := zoned("a"), zoned("a")
	first.SetEvacuations([]fleet.Zone{"a"}, Position{Revision: 1}, boottime.Now())
	first.SetEvacuations(nil, Position{Revision: 2}, boottime.Now())
	returned := first.View().Evacuations.ReturnedAt["a"]
	for range 100 {
		for _, pair := range [][2]*State{{first, second}, {second, first}} {
			delayed := map[fleet.Zone]boottime.Instant{"a": pair[0].View().Evacuations.ReturnedAt["a"].Add(200 * time.Millisecond)}
			pair[1].MergeReturnedZones(delayed)
		}
	}
	if got := first.View().Evacuations.ReturnedAt["a"]; got != returned {
		t.Errorf("shifted by %v", got.Sub(returned))
	}
	if got := second.View().Evacuations.ReturnedAt["a"]; got.Sub(returned) != 200*time.Millisecond {
		t.Errorf("the other router has a time that is %v later", got.Sub(returned))
	}
}
