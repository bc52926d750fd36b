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
	// cheapReadingShare is the part of a route's target latency that reading the shared parts
	// may take for them to have homes in each zone. Each of these homes reads them once.
	cheapReadingShare = 0.03
	// hotInterval is the mean time between two requests at this router from which a
	// segment counts as asked often: its homes in other zones have enough to do.
	hotInterval = 2 * time.Second
	// intervalDecay is the weight of the past in that mean.
	intervalDecay = 0.7
	// ownZoneSlotMargin is the part of an engine's slots by which one of the own zone may be
	// fuller than the engine that is chosen from all zones. Without a bound, the engines
	// of a zone with more callers than others would be full, and slow, while those of
	// other zones have room.
	ownZoneSlotMargin = 0.1
)

// preferOwnZone tells whether an engine of the own zone is taken in place of the one that is
// chosen from all zones. It is, whatever the wait, where that one would refuse the request
// or disrupt streams.
func preferOwnZone(own, elsewhere selection.Choice, target time.Duration) bool {
	if !own.FitsUndisrupted() || !elsewhere.FitsUndisrupted() {
		return own.FitsUndisrupted()
	}
	tolerated := time.Duration(float64(target) * cheapReadingShare)
	return own.Wait <= elsewhere.Wait+tolerated && own.SlotsUsed <= elsewhere.SlotsUsed+ownZoneSlotMargin
}

// ownZoneEngines returns the usable engines of this router's zone where the request is to be
// placed there if they have room for it, nil otherwise. drawn tells that the list is
// the request's own, and hot that its part is asked for often.
func (a *admission) ownZoneEngines(search *modelSearch, usable []*knowledge.Backend, filtered, frequent bool) []*knowledge.Backend {
	if !a.settings.get().Engines.OwnZoneFirst {
		return nil
	}
	reading := selection.ReadingTime(search.demand.SharedTokens, search.limits.Rate)
	cheap := float64(reading) <= float64(search.request.Route.TargetLatency)*cheapReadingShare
	if !cheap && !frequent {
		return nil
	}
	if filtered {
		return inZone(usable, a.zone)
	}
	return a.lists.inZone(usable, a.zone)
}

// recordDemand counts a request for the part and tells whether it is asked for often.
func (a *admission) recordDemand(segment string, now boottime.Instant) bool {
	return a.settings.get().Engines.OwnZoneFirst && a.segments.recordRequest(segment, now)
}
