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

// zonedFleet is the admission of a router in zone z, with engines in three zones.
type zonedFleet struct {
	*admission
	view    *knowledge.View
	request *Request
}

// newZonedFleet returns a fleet whose router prefers engines of its own zone if
// ownZoneFirst is set.
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

// place places a request for the segment, which takes little time to read.
func (f *zonedFleet) place(t *testing.T, segment int) *placement {
	t.Helper()
	f.request.Prompt.Segments = []PromptSegment{{fmt.Sprint("part ", segment), 100}, {fmt.Sprint("own part ", segment), 400}}
	f.request.Prompt.Tokens = 500
	placed, refusal := f.admission.place(f.request, f.view, nil)
	if refusal != nil {
		t.Fatalf("refused: %+v", refusal)
	}
	return placed
}

// occupied returns the fraction of the slots in use at the own zone's engines, and at the
// others'.
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

// Replays requests from the callers of one zone that never end. Guards against engines of
// that zone that fill up while those of other zones have room, and against ignoring the own
// zone while it has room.
func TestOverloadedZoneSpillsOver(t *testing.T) {
	f := newZonedFleet(true)
	inZone := 0
	for segment := range 600 {
		if placed := f.place(t, segment); placed.backend.Zone == f.zone {
			inZone++
		} else if segment < 30 {
			t.Errorf("request %d was placed in another zone while its own had as much room", segment)
		}
		if own, others := f.occupied(); own > others+2*ownZoneSlotMargin {
			t.Fatalf("after %d requests, %.2f of the own zone's slots are in use, and %.2f of the others'", segment+1, own, others)
		}
	}
	if inZone < 200 || inZone > 400 {
		t.Errorf("%d of 600 requests stayed in a zone with a third of the slots", inZone)
	}
}

// Guards against refusing requests, or placing them elsewhere than without the preference,
// if the own zone has no usable engines.
func TestZoneWithoutUsableEnginesIsNotPreferred(t *testing.T) {
	preferring, indifferent := newZonedFleet(true), newZonedFleet(false)
	for _, f := range []*zonedFleet{preferring, indifferent} {
		for _, backend := range f.view.Backends {
			if backend.Zone == f.zone {
				f.loads.ejected[backend.Incarnation] = boottime.Now().Add(time.Hour)
			}
		}
	}
	for segment := range 100 {
		got, want := preferring.place(t, segment), indifferent.place(t, segment)
		if got.backend.ID != want.backend.ID || got.backend.Zone == preferring.zone {
			t.Errorf("segment %d is placed at %s, want %s", segment, got.backend.ID, want.backend.ID)
		}
		preferring.release(preferring.request, got, true)
		indifferent.release(indifferent.request, want, true)
	}
}

// Guards against refusing a request that an engine of its own zone accepts, because the
// engines that its segment prefers in all zones are full but have less to read.
func TestOwnZoneTakesWhatNoOtherEngineTakes(t *testing.T) {
	own := selection.Choice{Fits: true, Wait: 200 * time.Millisecond, SlotsUsed: 0.5}
	for name, elsewhere := range map[string]selection.Choice{
		"full":       {Wait: 100 * time.Millisecond, SlotsUsed: 1},
		"disruptive": {Fits: true, Disrupts: true, Wait: 100 * time.Millisecond, SlotsUsed: 0.3},
	} {
		if !preferOwnZone(own, elsewhere, time.Second) {
			t.Errorf("the engine of the own zone is not used although the other one is %s", name)
		}
	}
	if preferOwnZone(own, selection.Choice{Fits: true, Wait: 100 * time.Millisecond, SlotsUsed: 0.5}, time.Second) {
		t.Error("an engine of the own zone is used although the request would wait there")
	}
}

// Guards against refusals while an engine of the own zone has room, also if the engine that
// would refuse the request is in the own zone.
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
	for segment := range 200 {
		placed := f.place(t, segment)
		if placed.backend.ID != withRoom {
			t.Fatalf("segment %d is placed at %s, which is full", segment, placed.backend.ID)
		}
		f.release(f.request, placed, true)
	}
}

// Guards against segments that do not count as frequently requested because some of their
// requests are placed at engines of the own zone.
func TestRequestsPlacedInTheOwnZoneCountAsDemand(t *testing.T) {
	f := newZonedFleet(true)
	for segment := range 20 {
		for range 3 {
			f.release(f.request, f.place(t, segment), true)
		}
		if !f.segments.recordRequest(f.request.Prompt.SharedSegment(), boottime.Now()) {
			t.Errorf("segment %d does not count as frequently requested", segment)
		}
	}
}
