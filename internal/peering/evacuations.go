package peering

import (
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

// Every heartbeat carries the full list of evacuated zones. There are few zones, so this
// costs less than a call, and a router that cannot reach the store, or that has just
// started or resumed, knows them with the first heartbeat that it receives. Zones with a
// newer position replace those with an older one, so lost, repeated and reordered
// heartbeats are harmless.

// encodeEvacuations returns the evacuations for a heartbeat, nil if their state is
// unknown.
func encodeEvacuations(known *knowledge.Evacuations, now boottime.Instant) *peeringpb.Evacuations {
	if known.ConfirmedAt == 0 {
		return nil
	}
	encoded := &peeringpb.Evacuations{
		Zones:    zoneNames(known.Zones),
		Era:      known.Position.Era,
		Revision: known.Position.Revision,
		Age:      ageAt(known.ConfirmedAt, now),
	}
	for zone, at := range known.ReturnedAt {
		encoded.Returned = append(encoded.Returned, string(zone))
		encoded.ReturnedAge = append(encoded.ReturnedAge, ageAt(at, now))
	}
	return encoded
}

// applyEvacuations applies the evacuations of a received heartbeat. echo is a time before
// the sender sent it, 0 if unknown; without it, the age of the evacuations is unknown and
// they are not confirmed.
func applyEvacuations(state *knowledge.State, received *peeringpb.Evacuations, echo, now boottime.Instant) {
	if received == nil || received.Age < 0 {
		return
	}
	zones := lo.Map(received.Zones, func(zone string, _ int) fleet.Zone { return fleet.Zone(zone) })
	state.SetEvacuations(zones, knowledge.Position{Era: received.Era, Revision: received.Revision}, 0)
	returned := make(map[fleet.Zone]boottime.Instant)
	for i := range min(len(received.Returned), len(received.ReturnedAge)) {
		returned[fleet.Zone(received.Returned[i])] = now.Add(-time.Duration(received.ReturnedAge[i]))
	}
	state.MergeReturnedZones(returned)
	if echo != 0 {
		state.ConfirmEvacuations(zones, echo.Add(-time.Duration(received.Age)))
	}
}

func zoneNames(zones []fleet.Zone) []string {
	return lo.Map(zones, func(zone fleet.Zone, _ int) string { return string(zone) })
}
