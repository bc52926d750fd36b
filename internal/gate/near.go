package gate

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// The load that this file answers: callers of all availability zones ask for the same
// prompt parts, and each part has its homes in one zone. Two of three streams then cross
// zones, and each router keeps connections to all engines of the fleet.

const (
	// nearReading is the part of a route's target latency that reading the shared parts
	// may take for them to have homes in each zone. Each of these homes reads them once.
	nearReading = 0.03
	// hotInterval is the mean time between two requests at this router from which a
	// part counts as asked often: its homes in other zones have enough to do.
	hotInterval = 2 * time.Second
	// intervalMemory is the weight of the past in that mean.
	intervalMemory = 0.7
	// nearSlots is the part of an engine's slots by which one of the own zone may be
	// fuller than the engine that is chosen from all zones. Without a bound, the engines
	// of a zone with more callers than others would be full, and slow, while those of
	// other zones have room.
	nearSlots = 0.1
)

// preferNear tells whether an engine of the own zone is taken in place of the one that is
// chosen from all zones. It is, whatever the wait, where that one would refuse the request
// or disrupt streams.
func preferNear(near, elsewhere selection.Choice, target time.Duration) bool {
	if !near.FitsUndisrupted() || !elsewhere.FitsUndisrupted() {
		return near.FitsUndisrupted()
	}
	tolerated := time.Duration(float64(target) * nearReading)
	return near.Wait <= elsewhere.Wait+tolerated && near.SlotsUsed <= elsewhere.SlotsUsed+nearSlots
}

// near returns the usable engines of this router's zone where the request is to be
// placed there if they have room for it, nil otherwise. drawn tells that the list is
// the request's own, and hot that its part is asked for often.
func (a *admission) near(search *modelSearch, usable []*knowledge.Backend, drawn, hot bool) []*knowledge.Backend {
	if !a.settings.get().Engines.OwnZoneFirst {
		return nil
	}
	reading := selection.ReadingTime(search.demand.SharedTokens, search.limits.Rate)
	cheap := float64(reading) <= float64(search.request.Route.TargetLatency)*nearReading
	if !cheap && !hot {
		return nil
	}
	if drawn {
		return inZone(usable, a.zone)
	}
	return a.lists.inZone(usable, a.zone)
}

// hot counts a request for the part and tells whether it is asked for often.
func (a *admission) hot(part string, now boottime.Instant) bool {
	return a.settings.get().Engines.OwnZoneFirst && a.kept.asked(part, now)
}
