package peering

import (
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
)

// Every beat carries the evacuated zones whole. There are few zones, so this costs
// less than a call, and a router that the store does not reach, or that has just
// started or woken up, knows them with the first beat that it hears. Zones of a newer
// position replace those of an older one, so lost, repeated and reordered beats do no
// harm.

// encodeEvacuations returns what a beat tells of evacuations, nil while nothing is
// known.
func encodeEvacuations(known *knowledge.Evacuations, now boottime.Instant) *peeringpb.Evacuations {
	if known.ConfirmedAt == 0 {
		return nil
	}
	encoded := &peeringpb.Evacuations{
		Zones:    zoneNames(known.Zones),
		Era:      known.Position.Era,
		Revision: known.Position.Revision,
		Age:      age(known.ConfirmedAt, now),
	}
	for zone, at := range known.ReturnedAt {
		encoded.Returned = append(encoded.Returned, string(zone))
		encoded.ReturnedAge = append(encoded.ReturnedAge, age(at, now))
	}
	return encoded
}

// takeEvacuations takes what a beat tells of evacuations. echo is a moment at which
// the sender had not sent it yet, 0 if unknown: without it, nothing is known of the
// age of what it tells.
func takeEvacuations(state *knowledge.State, told *peeringpb.Evacuations, echo, now boottime.Instant) {
	if told == nil || told.Age < 0 {
		return
	}
	zones := lo.Map(told.Zones, func(zone string, _ int) fleet.Zone { return fleet.Zone(zone) })
	state.SetEvacuations(zones, knowledge.Position{Era: told.Era, Revision: told.Revision}, 0)
	returned := make(map[fleet.Zone]boottime.Instant)
	for i := range min(len(told.Returned), len(told.ReturnedAge)) {
		returned[fleet.Zone(told.Returned[i])] = now.Add(-time.Duration(told.ReturnedAge[i]))
	}
	state.MergeReturnedZones(returned)
	if echo != 0 {
		state.ConfirmEvacuations(zones, echo.Add(-time.Duration(told.Age)))
	}
}

func zoneNames(zones []fleet.Zone) []string {
	return lo.Map(zones, func(zone fleet.Zone, _ int) string { return string(zone) })
}
