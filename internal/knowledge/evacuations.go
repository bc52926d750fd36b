package knowledge

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Evacuations are the availability zones whose backend servers get no new
// requests, as the operator has ordered.
type Evacuations struct {
	Zones    []fleet.Zone // sorted
	Position Position     // at which these were the zones
	// ConfirmedAt is a moment at which these were still the zones, 0 before any were
	// told.
	ConfirmedAt boottime.Instant
	// ObservedAt tells when this router heard that a zone is evacuated.
	ObservedAt map[fleet.Zone]boottime.Instant
	// held are zones that were evacuated before the store went back and that it does
	// not have since, with the moment until which they count all the same.
	held map[fleet.Zone]boottime.Instant
	// ReturnedAt tells when this router heard that a zone was taken back into use.
	// Its backend servers may have started again meanwhile.
	ReturnedAt map[fleet.Zone]boottime.Instant
}

// Has tells whether the zone is evacuated.
func (e *Evacuations) Has(zone fleet.Zone) bool {
	_, found := slices.BinarySearch(e.Zones, zone)
	return found
}

// returnedLife is how long a zone is remembered as taken back: longer than backend
// servers take to become warm.
const returnedLife = 30 * time.Second

// heldLife is how long a zone stays evacuated that the store has lost. The operator
// writes the order again within a moment; requests that go there until then meet backend
// servers that are being stopped. A zone that was to be taken back waits as long.
const heldLife = 2 * time.Second

// returnedSlack is how much later than known another router must say that a zone
// was taken back to be believed. Beats are late by their way, and two routers that
// took each other's word would shift the moment on for ever.
const returnedSlack = 5 * time.Second

// RequireEvacuations tells that the operator may evacuate zones, so that no request
// is answered before it is known which are. A router that started would else send
// requests into an evacuated zone until its first answer of the store.
func (s *State) RequireEvacuations() {
	s.update(func(view *View) bool {
		view.expectEvacuations = true
		return false
	})
}

// SetEvacuations takes the zones that were evacuated at the position. confirmed is a
// moment at which they still were, 0 if unknown. Zones of an older position than the
// known ones are ignored.
func (s *State) SetEvacuations(zones []fleet.Zone, at Position, confirmed boottime.Instant) {
	if known := s.View().Evacuations; at.Compare(known.Position) <= 0 && confirmed <= known.ConfirmedAt {
		return // nearly all beats tell what is known, and each update costs a copy of the view
	}
	s.update(func(view *View) bool {
		known := &view.Evacuations
		if at.Before(known.Position) {
			return false
		}
		now := boottime.Now()
		before := known.Zones
		known.hold(zones, at, now)
		zones := lo.Uniq(slices.Sorted(slices.Values(append(lo.Keys(known.held), zones...))))
		known.Position = at
		known.ConfirmedAt = max(known.ConfirmedAt, confirmed)
		if slices.Equal(before, zones) {
			return false
		}
		taken, _ := lo.Difference(before, zones)
		known.ObservedAt = lo.SliceToMap(zones, func(zone fleet.Zone) (fleet.Zone, boottime.Instant) {
			if at, already := known.ObservedAt[zone]; already {
				return zone, at
			}
			return zone, now
		})
		known.ReturnedAt = withReturned(known.ReturnedAt, lo.SliceToMap(taken, func(zone fleet.Zone) (fleet.Zone, boottime.Instant) { return zone, now }), now)
		known.Zones = zones
		view.setBackends(view.Backends)
		return true
	})
}

// hold keeps those zones evacuated for a moment that the store has lost by going back.
func (e *Evacuations) hold(zones []fleet.Zone, at Position, now boottime.Instant) {
	held := maps.Clone(e.held)
	maps.DeleteFunc(held, func(zone fleet.Zone, until boottime.Instant) bool {
		return now >= until || slices.Contains(zones, zone)
	})
	if at.Era > e.Position.Era && e.ConfirmedAt != 0 {
		for _, zone := range lo.Without(e.Zones, zones...) {
			if held == nil {
				held = make(map[fleet.Zone]boottime.Instant)
			}
			held[zone] = now.Add(heldLife)
		}
	}
	e.held = held
}

// ConfirmEvacuations tells that these were still all evacuated zones at the moment.
// It does nothing when others are known by now.
func (s *State) ConfirmEvacuations(zones []fleet.Zone, confirmed boottime.Instant) {
	s.update(func(view *View) bool {
		if slices.Equal(view.Evacuations.Zones, slices.Sorted(slices.Values(zones))) {
			view.Evacuations.ConfirmedAt = max(view.Evacuations.ConfirmedAt, confirmed)
		}
		return false
	})
}

// MergeReturnedZones takes from another router when zones were taken back. A router that
// has just started did not see it itself.
func (s *State) MergeReturnedZones(returned map[fleet.Zone]boottime.Instant) {
	known := s.View().Evacuations.ReturnedAt
	news := lo.PickBy(returned, func(zone fleet.Zone, at boottime.Instant) bool {
		return at.Sub(known[zone]) > returnedSlack
	})
	if len(news) == 0 {
		return
	}
	s.update(func(view *View) bool {
		view.Evacuations.ReturnedAt = withReturned(view.Evacuations.ReturnedAt, news, boottime.Now())
		return false
	})
}

// withReturned returns the known zones with the news, without those that were taken
// back long ago.
func withReturned(known, news map[fleet.Zone]boottime.Instant, now boottime.Instant) map[fleet.Zone]boottime.Instant {
	merged := maps.Clone(known)
	if merged == nil {
		merged = make(map[fleet.Zone]boottime.Instant)
	}
	maps.Copy(merged, news)
	maps.DeleteFunc(merged, func(_ fleet.Zone, at boottime.Instant) bool { return now.Sub(at) > returnedLife })
	return merged
}
