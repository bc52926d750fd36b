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
	v.versioned = make(map[fleet.Service]bool)
	for _, backend := range backends {
		v.ByService[backend.Service] = append(v.ByService[backend.Service], backend)
		v.versioned[backend.Service] = v.versioned[backend.Service] || backend.Version != ""
	}
	for service, group := range v.ByService {
		slices.SortFunc(group, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
		v.Serving[service] = lo.Filter(group, func(backend *Backend, _ int) bool {
			return !backend.Draining && !v.Evacuations.Has(backend.Zone)
		})
	}
	v.Digest = digest(backends)
}

// digest returns a hash of the list that does not depend on its order.
func digest(backends map[string]*Backend) uint64 {
	sum := uint64(len(backends))
	for _, backend := range backends {
		sum += backend.entryHash
	}
	return sum
}

// newerEntry returns the entry that is in force after received arrived; known is the entry
// so far, or nil. The last write of an incarnation may reach the store after the first one
// of its successor, so an entry of an older incarnation is dropped.
func (v *View) newerEntry(known, received *Backend, now boottime.Instant) *Backend {
	if known != nil {
		if received.StartedAt == 0 {
			received.StartedAt = known.StartedAt // no start time reported: assume the same incarnation
		}
		if received.StartedAt < known.StartedAt || received.StartedAt == known.StartedAt && v.isOutdated(known, received, now) {
			return known
		}
	}
	received.ColdUntil = coldUntil(known, received)
	received.Incarnation = incarnation(received.ID, received.StartedAt)
	received.IncarnationHash = IncarnationHash(received.Incarnation)
	received.IDHash = xxhash.Sum64String(received.ID)
	if received.Version == "" && known != nil && sameEntry(known, received) {
		received.Version = known.Version // received from a router that doesn't forward versions
	}
	received.softwareID = softwareID(received.Service, received.Version)
	// Only whether the server is cold is hashed: the remaining time changes constantly, and
	// each new digest makes all routers fetch the list.
	received.entryHash = xxhash.Sum64String(fmt.Sprintf("%s %d %s %s %t %t %s", received.ID, received.StartedAt, received.Service, received.Address, received.Draining, received.ColdRemaining > 0, received.Version))
	received.FirstSeen = now
	if v.ListConfirmedAt == 0 {
		received.FirstSeen = 0 // listed before this router started; its age is unknown
	}
	if known != nil && known.Incarnation == received.Incarnation {
		received.FirstSeen = known.FirstSeen
	}
	return received
}

// coldUntil returns when the server of the received entry will be warm. Receiving the same
// entry again does not extend the time.
func coldUntil(known, received *Backend) boottime.Instant {
	if known != nil && sameEntry(known, received) && known.ColdRemaining == received.ColdRemaining {
		return known.ColdUntil
	}
	if received.ColdRemaining <= 0 {
		return 0
	}
	return boottime.Now().Add(received.ColdRemaining)
}

// sameEntry reports whether both are the same write of a backend server's entry. Revisions
// of different eras are not comparable; the server's own sequence number is.
func sameEntry(known, received *Backend) bool {
	if known.Era == received.Era {
		return known.Revision == received.Revision
	}
	return known.StartedAt == received.StartedAt && known.Sequence == received.Sequence
}

// SameProcess reports whether the current entry of a backend server is certain to be of the process
// that wrote the earlier one. Without a start time a later process can't be told from it once the entry
// has been written anew, in the same store or a restored one; a lower sequence is that of another
// process.
func (v *View) SameProcess(earlier, current *Backend) bool {
	if earlier.StartedAt != 0 {
		return current.Incarnation == earlier.Incarnation
	}
	return current.Incarnation == earlier.Incarnation && current.Position == earlier.Position &&
		current.Era == v.Position.Era && current.Sequence >= earlier.Sequence
}

// IncarnationHash returns the key by which routers refer to an incarnation in their
// messages. It is cut to 32 bits to keep the messages short. If two incarnations collide,
// the load of each is counted for both.
func IncarnationHash(incarnation string) uint32 {
	return uint32(xxhash.Sum64String(incarnation))
}

// incarnation returns the name of one run of a backend server, by its id and the time at
// which it started, 0 if that is unknown.
func incarnation(id string, born int64) string {
	if born == 0 {
		return id
	}
	return id + "@" + strconv.FormatInt(born, 10)
}

func sameBackends(a, b map[string]*Backend) bool {
	return maps.EqualFunc(a, b, func(x, y *Backend) bool { return *x == *y })
}
