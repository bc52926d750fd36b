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

// Guards against requests that a router keeps sending into an evacuated zone because only
// the store reports evacuations, while the router cannot reach the store or has started
// during an outage. The same holds for a zone that is taken back.
func TestEvacuationsArePropagated(t *testing.T) {
	sender, receiver := knowledge.NewState(), knowledge.NewState()
	now := boottime.Now()
	send := func() {
		view := sender.View()
		applyEvacuations(receiver, encodeEvacuations(&view.Evacuations, boottime.Now()), now, boottime.Now())
	}
	send()
	if receiver.View().Evacuations.ConfirmedAt != 0 {
		t.Error("evacuations were confirmed by a router without state")
	}
	sender.SetEvacuations([]fleet.Zone{"b", "a"}, knowledge.Position{Revision: 4}, now)
	send()
	known := receiver.View().Evacuations
	if !slices.Equal(known.Zones, []fleet.Zone{"a", "b"}) || known.ConfirmedAt == 0 || known.ConfirmedAt > now {
		t.Errorf("received %+v", known)
	}
	sender.SetEvacuations([]fleet.Zone{"b"}, knowledge.Position{Revision: 5}, boottime.Now())
	send()
	known = receiver.View().Evacuations
	if !slices.Equal(known.Zones, []fleet.Zone{"b"}) || known.ReturnedAt["a"] == 0 {
		t.Errorf("received %+v after a zone was taken back", known)
	}
}

// A router that starts after a zone was taken back must learn of that, as the zone's
// backend servers may still be cold.
func TestNewRouterLearnsOfReturnedZones(t *testing.T) {
	now := boottime.Now()
	state := knowledge.NewState()
	received := &peeringpb.Evacuations{Revision: 9, Returned: []string{"a", "old", "torn"}, ReturnedAge: []int64{int64(time.Second), int64(time.Hour)}}
	applyEvacuations(state, received, 0, now)
	returned := state.View().Evacuations.ReturnedAt
	if len(returned) != 1 || returned["a"] != now.Add(-time.Second) {
		t.Errorf("%v", returned)
	}
}
