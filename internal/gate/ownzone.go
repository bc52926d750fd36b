package gate

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/selection"
)

// When callers of all availability zones request the same prompt segments and each segment
// has its preferred engines in one zone, two of three streams cross zones, and each router
// keeps connections to all engines of the fleet.
const (
	// cheapReadingShare is the maximum fraction of a route's target latency that reading
	// the shared segments may take for them to have preferred engines in each zone. Each of
	// these engines reads them once.
	cheapReadingShare = 0.03
	// hotInterval is the mean time between two requests at this router below which a
	// segment counts as frequently requested: its preferred engines in each zone then have
	// enough use for it.
	hotInterval = 2 * time.Second
	// intervalDecay is the weight of the former value in that mean.
	intervalDecay = 0.7
	// ownZoneSlotMargin is the fraction of an engine's slots by which an engine of the own
	// zone may be fuller than the engine chosen from all zones. Without a bound, the
	// engines of a zone with more callers than others would be full and slow, while those
	// of other zones have room.
	ownZoneSlotMargin = 0.1
)

// preferOwnZone reports whether the engine of the own zone replaces the one chosen from all
// zones. It does regardless of the wait if the latter would refuse the request or disrupt
// streams.
func preferOwnZone(own, elsewhere selection.Choice, target time.Duration) bool {
	if !own.FitsUndisrupted() || !elsewhere.FitsUndisrupted() {
		return own.FitsUndisrupted()
	}
	tolerated := time.Duration(float64(target) * cheapReadingShare)
	return own.Wait <= elsewhere.Wait+tolerated && own.SlotsUsed <= elsewhere.SlotsUsed+ownZoneSlotMargin
}

// ownZoneEngines returns the usable engines of this router's zone if the request should be
// placed there when they have room for it, nil otherwise. filtered reports whether the list
// was built for this request, and frequent whether its segment is requested frequently.
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

// recordDemand records a request for the segment and reports whether it is requested
// frequently.
func (a *admission) recordDemand(segment string, now boottime.Instant) bool {
	return a.settings.get().Engines.OwnZoneFirst && a.segments.recordRequest(segment, now)
}
