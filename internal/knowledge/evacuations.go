package knowledge

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Evacuations are the availability zones that the operator has evacuated: their backend
// servers get no new requests.
type Evacuations struct {
	Zones    []fleet.Zone // sorted
	Position Position     // at which Zones was read
	// ConfirmedAt is when Zones was last known to be current, 0 if never.
	ConfirmedAt boottime.Instant
	// ObservedAt is when this router learned that a zone is evacuated.
	ObservedAt map[fleet.Zone]boottime.Instant
	// retainedUntil are zones that were evacuated before the store was restored from an
	// older copy and that are missing from the copy, with the time until which they still
	// count as evacuated.
	retainedUntil map[fleet.Zone]boottime.Instant
	// ReturnedAt is when this router learned that a zone was taken back into use. Its
	// backend servers may have restarted meanwhile.
	ReturnedAt map[fleet.Zone]boottime.Instant
}

// Has reports whether the zone is evacuated.
func (e *Evacuations) Has(zone fleet.Zone) bool {
	_, found := slices.BinarySearch(e.Zones, zone)
	return found
}

// returnedTTL is how long the return of a zone is remembered: longer than backend servers
// take to become warm.
const returnedTTL = 30 * time.Second

// lostEvacuationTTL is how long a zone stays evacuated after a restore of the store has
// lost its evacuation. The operator writes the evacuation again within that time; requests
// sent to the zone until then would reach backend servers that are being stopped. If the
// zone was to be taken back, its return is delayed by this time.
const lostEvacuationTTL = 2 * time.Second

// returnedTolerance is how much later than the known time another router must report the
// return of a zone to be believed. Heartbeats arrive with a delay, and two routers that
// adopted each other's time would move it forward without end.
const returnedTolerance = 5 * time.Second

// RequireEvacuations makes the state not ready until the evacuated zones are known.
// Otherwise a router that has just started would send requests into an evacuated zone until
// the store answers for the first time.
func (s *State) RequireEvacuations() {
	s.update(func(view *View) bool {
		view.evacuationsRequired = true
		return false
	})
}

// SetEvacuations applies the zones that were evacuated at the position. confirmedAt is a
// time at which they were known to be current, 0 if unknown. Zones of an older position than the
// current ones are ignored.
func (s *State) SetEvacuations(zones []fleet.Zone, at Position, confirmedAt boottime.Instant) {
	if known := s.View().Evacuations; at.Compare(known.Position) <= 0 && confirmedAt <= known.ConfirmedAt {
		return // true of nearly all heartbeats; an update would copy the view
	}
	s.update(func(view *View) bool {
		known := &view.Evacuations
		if at.Before(known.Position) {
			return false
		}
		now := boottime.Now()
		before := known.Zones
		known.retainLost(zones, at, now)
		zones := lo.Uniq(slices.Sorted(slices.Values(append(lo.Keys(known.retainedUntil), zones...))))
		known.Position = at
		known.ConfirmedAt = max(known.ConfirmedAt, confirmedAt)
		if slices.Equal(before, zones) {
			return false
		}
		returned, _ := lo.Difference(before, zones)
		known.ObservedAt = lo.SliceToMap(zones, func(zone fleet.Zone) (fleet.Zone, boottime.Instant) {
			if at, already := known.ObservedAt[zone]; already {
				return zone, at
			}
			return zone, now
		})
		known.ReturnedAt = withReturned(known.ReturnedAt, lo.SliceToMap(returned, func(zone fleet.Zone) (fleet.Zone, boottime.Instant) { return zone, now }), now)
		known.Zones = zones
		view.setBackends(view.Backends)
		return true
	})
}

// retainLost keeps a zone evacuated for lostEvacuationTTL if a restore of the store has lost
// its evacuation.
func (e *Evacuations) retainLost(zones []fleet.Zone, at Position, now boottime.Instant) {
	retained := maps.Clone(e.retainedUntil)
	maps.DeleteFunc(retained, func(zone fleet.Zone, until boottime.Instant) bool {
		return now >= until || slices.Contains(zones, zone)
	})
	if at.Era > e.Position.Era && e.ConfirmedAt != 0 {
		for _, zone := range lo.Without(e.Zones, zones...) {
			if retained == nil {
				retained = make(map[fleet.Zone]boottime.Instant)
			}
			retained[zone] = now.Add(lostEvacuationTTL)
		}
	}
	e.retainedUntil = retained
}

// ConfirmEvacuations records that exactly these zones were evacuated at confirmedAt.
// It does nothing if the current zones differ.
func (s *State) ConfirmEvacuations(zones []fleet.Zone, confirmedAt boottime.Instant) {
	s.update(func(view *View) bool {
		if slices.Equal(view.Evacuations.Zones, slices.Sorted(slices.Values(zones))) {
			view.Evacuations.ConfirmedAt = max(view.Evacuations.ConfirmedAt, confirmedAt)
		}
		return false
	})
}

// MergeReturnedZones merges the times at which zones returned to use, as another router
// reports them. A router that has just started did not observe the returns itself.
func (s *State) MergeReturnedZones(returned map[fleet.Zone]boottime.Instant) {
	known := s.View().Evacuations.ReturnedAt
	updates := lo.PickBy(returned, func(zone fleet.Zone, at boottime.Instant) bool {
		return at.Sub(known[zone]) > returnedTolerance
	})
	if len(updates) == 0 {
		return
	}
	s.update(func(view *View) bool {
		view.Evacuations.ReturnedAt = withReturned(view.Evacuations.ReturnedAt, updates, boottime.Now())
		return false
	})
}

// withReturned returns known with the updates applied, without zones that returned more
// than returnedTTL ago.
func withReturned(known, updates map[fleet.Zone]boottime.Instant, now boottime.Instant) map[fleet.Zone]boottime.Instant {
	merged := maps.Clone(known)
	if merged == nil {
		merged = make(map[fleet.Zone]boottime.Instant)
	}
	maps.Copy(merged, updates)
	maps.DeleteFunc(merged, func(_ fleet.Zone, at boottime.Instant) bool { return now.Sub(at) > returnedTTL })
	return merged
}
