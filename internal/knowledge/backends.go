package knowledge

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// setBackends replaces the list and groups it by service.
func (v *View) setBackends(backends map[string]*Backend) {
	v.Backends = backends
	v.ByService = make(map[fleet.Service][]*Backend)
	v.Serving = make(map[fleet.Service][]*Backend)
	for _, backend := range backends {
		v.ByService[backend.Service] = append(v.ByService[backend.Service], backend)
	}
	for service, group := range v.ByService {
		slices.SortFunc(group, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
		v.Serving[service] = lo.Filter(group, func(backend *Backend, _ int) bool {
			return !backend.Draining && !v.Evacuations.Has(backend.Zone)
		})
	}
	v.Digest = digest(backends)
}

// digest returns a value that lists with the same entries share.
func digest(backends map[string]*Backend) uint64 {
	sum := uint64(len(backends))
	for _, backend := range backends {
		sum += backend.entryHash // the order does not matter
	}
	return sum
}

// newest returns what holds of a backend server when told comes after known, which may
// be nil. What an incarnation wrote last may reach the store after the first word of the
// next one; it must not bring the dead one back.
func (v *View) newest(known, told *Backend, now boottime.Instant) *Backend {
	if known != nil {
		if told.StartedAt == 0 {
			told.StartedAt = known.StartedAt // nothing is told of a new start
		}
		if told.StartedAt < known.StartedAt || told.StartedAt == known.StartedAt && v.outdated(known, told, now) {
			return known
		}
	}
	told.ColdUntil = coldUntil(known, told)
	told.Incarnation = incarnation(told.ID, told.StartedAt)
	told.IncarnationHash = IncarnationHash(told.Incarnation)
	told.IDHash = xxhash.Sum64String(told.ID)
	// Of a cold server only that it is: how long it stays so changes all the time,
	// and each change would have the list taken by all routers.
	told.entryHash = xxhash.Sum64String(fmt.Sprintf("%s %d %s %s %t %t", told.ID, told.StartedAt, told.Service, told.Address, told.Draining, told.ColdRemaining > 0))
	told.FirstSeen = now
	if v.ListConfirmedAt == 0 {
		told.FirstSeen = 0 // it may have been there for long
	}
	if known != nil && known.Incarnation == told.Incarnation {
		told.FirstSeen = known.FirstSeen
	}
	return told
}

// coldUntil returns when the told backend server will be warm. An entry that is told
// again starts no new time.
func coldUntil(known, told *Backend) boottime.Instant {
	if known != nil && sameEntry(known, told) && known.ColdRemaining == told.ColdRemaining {
		return known.ColdUntil
	}
	if told.ColdRemaining <= 0 {
		return 0
	}
	return boottime.Now().Add(told.ColdRemaining)
}

// sameEntry tells whether both are the same entry of a backend server. In another era its
// revision says nothing.
func sameEntry(known, told *Backend) bool {
	if known.Era == told.Era {
		return known.Revision == told.Revision
	}
	return known.StartedAt == told.StartedAt && known.Sequence == told.Sequence
}

// IncarnationHash returns the name by which routers tell each other of an
// incarnation. Half of a hash keeps their messages short; should two incarnations
// share one, each counts the other's load as well.
func IncarnationHash(incarnation string) uint32 {
	return uint32(xxhash.Sum64String(incarnation))
}

func incarnation(id string, born int64) string {
	if born == 0 {
		return id
	}
	return id + "@" + strconv.FormatInt(born, 10)
}

func sameBackends(a, b map[string]*Backend) bool {
	return maps.EqualFunc(a, b, func(x, y *Backend) bool { return *x == *y })
}
