package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// zonedFleet is an admission of a router in zone z, with engines in three zones.
type zonedFleet struct {
	*admission
	view    *knowledge.View
	request *Request
}

// newZonedFleet returns one whose router gives parts homes in its own zone if told to.
func newZonedFleet(ownZoneFirst bool) *zonedFleet {
	return newFleetInZones(ownZoneFirst, []fleet.Zone{"z", "y", "x"})
}

func newFleetInZones(ownZoneFirst bool, zones []fleet.Zone) *zonedFleet {
	f := &zonedFleet{}
	f.admission, f.view, f.request = benchAdmissionInZones(30, 1, 4, BackendLoad{Running: 3}, zones)
	f.request.Account = nil
	settings := *f.settings.get()
	settings.Engines.OwnZoneFirst = ownZoneFirst
	f.settings.set(settings)
	return f
}

// place places a request for the part, which is cheap to read.
func (f *zonedFleet) place(t *testing.T, part int) *placement {
	t.Helper()
	f.request.Prompt.Segments = []PromptSegment{{fmt.Sprint("part ", part), 100}, {fmt.Sprint("own part ", part), 400}}
	f.request.Prompt.Tokens = 500
	placed, refusal := f.admission.place(f.request, f.view, nil)
	if refusal != nil {
		t.Fatalf("refused: %+v", refusal)
	}
	return placed
}

// occupied returns the part of the slots of the own zone's engines, and of the others',
// that are taken.
func (f *zonedFleet) occupied() (own, others float64) {
	for _, backend := range f.view.Backends {
		load, _ := f.loads.get(backend.Incarnation)
		if backend.Zone == f.zone {
			own += float64(load.Running) / float64(10*backend.Slots)
		} else {
			others += float64(load.Running) / float64(20*backend.Slots)
		}
	}
	return own, others
}

// Replays requests of a crowded zone that do not end. Guards against engines of that zone
// that fill up while those of other zones have room, and against a preference for the own
// zone that gets lost while there is room.
func TestOverloadedZoneSpillsOver(t *testing.T) {
	f := newZonedFleet(true)
	inZone := 0
	for part := range 600 {
		if placed := f.place(t, part); placed.backend.Zone == f.zone {
			inZone++
		} else if part < 30 {
			t.Errorf("request %d left its zone while that had as much room as others", part)
		}
		if own, others := f.occupied(); own > others+2*ownZoneSlotMargin {
			t.Fatalf("after %d requests, %.2f of the own zone's slots are taken, of others' %.2f", part+1, own, others)
		}
	}
	if inZone < 200 || inZone > 400 {
		t.Errorf("%d of 600 requests stayed in a zone with a third of the slots", inZone)
	}
}

// Guards against requests that are refused, or placed elsewhere than without the
// preference, where the own zone has no usable engines.
func TestZoneWithoutUsableEnginesIsNotPreferred(t *testing.T) {
	preferring, indifferent := newZonedFleet(true), newZonedFleet(false)
	for _, f := range []*zonedFleet{preferring, indifferent} {
		for _, backend := range f.view.Backends {
			if backend.Zone == f.zone {
				f.loads.ejected[backend.Incarnation] = boottime.Now().Add(time.Hour)
			}
		}
	}
	for part := range 100 {
		got, want := preferring.place(t, part), indifferent.place(t, part)
		if got.backend.ID != want.backend.ID || got.backend.Zone == preferring.zone {
			t.Errorf("part %d is placed at %s, want %s", part, got.backend.ID, want.backend.ID)
		}
		preferring.release(preferring.request, got, true)
		indifferent.release(indifferent.request, want, true)
	}
}

// Guards against a request that is refused although an engine of its own zone takes it:
// those that its part prefers in all zones are full, and have less to read.
func TestOwnZoneTakesWhatNoOtherEngineTakes(t *testing.T) {
	own := selection.Choice{Fits: true, Wait: 200 * time.Millisecond, SlotsUsed: 0.5}
	for name, elsewhere := range map[string]selection.Choice{
		"full":       {Wait: 100 * time.Millisecond, SlotsUsed: 1},
		"disruptive": {Fits: true, Disrupts: true, Wait: 100 * time.Millisecond, SlotsUsed: 0.3},
	} {
		if !preferOwnZone(own, elsewhere, time.Second) {
			t.Errorf("the engine of the own zone is left out where the other one is %s", name)
		}
	}
	if preferOwnZone(own, selection.Choice{Fits: true, Wait: 100 * time.Millisecond, SlotsUsed: 0.5}, time.Second) {
		t.Error("an engine of the own zone is taken that makes the request wait")
	}
}

// Guards against refusals while an engine of the own zone has room: also where the engine
// that would refuse the request stands in the own zone.
func TestLastEngineWithRoomIsFoundInTheOwnZone(t *testing.T) {
	zones := make([]fleet.Zone, 15) // two engines in each
	for i := range zones {
		zones[i] = fleet.Zone(fmt.Sprint("z", i))
	}
	f := newFleetInZones(true, zones)
	const withRoom = "i-15"
	for id, backend := range f.view.Backends {
		if id != withRoom {
			f.loads.begin(backend.Incarnation, BackendLoad{Running: backend.Slots})
		}
	}
	for part := range 200 {
		placed := f.place(t, part)
		if placed.backend.ID != withRoom {
			t.Fatalf("part %d is placed at %s, which is full", part, placed.backend.ID)
		}
		f.release(f.request, placed, true)
	}
}

// Guards against parts that count as asked seldom because some of their requests find
// room at homes in the own zone.
func TestRequestsPlacedInTheOwnZoneCountAsDemand(t *testing.T) {
	f := newZonedFleet(true)
	for part := range 20 {
		for range 3 {
			f.release(f.request, f.place(t, part), true)
		}
		if !f.segments.recordRequest(f.request.Prompt.SharedSegment(), boottime.Now()) {
			t.Errorf("part %d does not count as asked often", part)
		}
	}
}
