package peering

import (
	"slices"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

// Symptom: a router goes on sending requests into an evacuated zone.
// Events: it is cut off from the store, or has started while the store is down; the
// operator evacuates a zone, then takes it back.
// Cause: only the store told of evacuations.
func TestEvacuationsAreTold(t *testing.T) {
	teller, hearer := knowledge.NewState(), knowledge.NewState()
	now := boottime.Now()
	tell := func() {
		view := teller.View()
		takeEvacuations(hearer, encodeEvacuations(&view.Evacuations, boottime.Now()), now, boottime.Now())
	}
	tell()
	if hearer.View().Evacuations.ConfirmedAt != 0 {
		t.Error("a router that knows nothing confirmed something")
	}
	teller.SetEvacuations([]fleet.Zone{"b", "a"}, knowledge.Position{Revision: 4}, now)
	tell()
	known := hearer.View().Evacuations
	if !slices.Equal(known.Zones, []fleet.Zone{"a", "b"}) || known.ConfirmedAt == 0 || known.ConfirmedAt > now {
		t.Errorf("heard %+v", known)
	}
	teller.SetEvacuations([]fleet.Zone{"b"}, knowledge.Position{Revision: 5}, boottime.Now())
	tell()
	known = hearer.View().Evacuations
	if !slices.Equal(known.Zones, []fleet.Zone{"b"}) || known.ReturnedAt["a"] == 0 {
		t.Errorf("heard %+v after a zone was taken back", known)
	}
}

// A router that started after a zone was taken back hears of that too: the zone's
// backend servers may still be cold.
func TestNewRouterHearsOfReturnedZones(t *testing.T) {
	now := boottime.Now()
	state := knowledge.NewState()
	told := &peeringpb.Evacuations{Revision: 9, Returned: []string{"a", "old", "torn"}, ReturnedAge: []int64{int64(time.Second), int64(time.Hour)}}
	takeEvacuations(state, told, 0, now)
	returned := state.View().Evacuations.ReturnedAt
	if len(returned) != 1 || returned["a"] != now.Add(-time.Second) {
		t.Errorf("%v", returned)
	}
}
