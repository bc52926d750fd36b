package knowledge

import (
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// A store restored from an older copy has lost its last seconds of writes. Backend servers
// and operators repeat their writes one after the other within some seconds. Until then the
// list has entries from before: ready for servers that drain, warm for cold ones, present
// for removed ones. Requests sent by such entries would reach servers that are about to
// stop, or crash cold ones. Each backend server numbers the entries that it writes and
// keeps incrementing after a restore, so the number shows which entry is older.

const (
	// rewriteTimeout is how long after a restore entries in the store may be older than
	// known ones: longer than servers take to repeat their writes, and than the store takes
	// to expire the entry of an unreachable one.
	rewriteTimeout = 10 * time.Second
	// removalTTL is how long a removal is remembered: longer than an outage of the store
	// together with the time of the writes that it loses.
	removalTTL = 30 * time.Second
)

// removal is the last entry of a backend server that was removed from the list.
type removal struct {
	entry     *Backend
	removedAt boottime.Instant
	upTo      Position // position of the list that lacked it
}

// recentlyRestored reports whether the store was restored from an older copy within
// rewriteTimeout.
func (v *View) recentlyRestored(now boottime.Instant) bool {
	return v.RestoredAt != 0 && now.Sub(v.RestoredAt) < rewriteTimeout
}

// isOutdated reports whether the received entry is older than the known one of the same
// incarnation. Another router may send an entry that it has retained from before a restore.
func (v *View) isOutdated(known, received *Backend, now boottime.Instant) bool {
	if received.Era == known.Era {
		return received.Revision < known.Revision
	}
	if !known.Draining && received.ColdRemaining > known.ColdRemaining {
		// The server may have restarted under its ID and reset its sequence. If it were
		// taken for warm, requests would crash it.
		return false
	}
	return v.recentlyRestored(now) && received.Sequence < known.Sequence
}

// isRemoved reports whether the entry belongs to a backend server that was removed before
// the store was restored.
func (v *View) isRemoved(received *Backend, now boottime.Instant) bool {
	removed, known := v.removed[received.ID]
	if !known || !v.recentlyRestored(now) || now.Sub(removed.removedAt) >= removalTTL {
		return false
	}
	return received.Era > removed.entry.Era && received.StartedAt <= removed.entry.StartedAt && received.Sequence <= removed.entry.Sequence
}

// recordRemovals remembers the backend servers that were in the list before and are not in
// it at the position.
func (v *View) recordRemovals(before map[string]*Backend, at Position, now boottime.Instant) {
	removed := make(map[string]removal)
	for id, known := range v.removed {
		switch {
		case v.Backends[id] != nil: // listed again
		case now.Sub(known.removedAt) < removalTTL:
			removed[id] = known
		default:
			v.removalsSince = Newest(v.removalsSince, known.upTo)
		}
	}
	for id, known := range before {
		if v.Backends[id] == nil {
			removed[id] = removal{entry: known, removedAt: now, upTo: at}
		}
	}
	v.removed = removed
}

// RetainedFromOlderEra returns the sorted IDs of the backend servers whose entries are from
// before the last restore of the store.
func (v *View) RetainedFromOlderEra() []string {
	ids := []string{}
	for id, backend := range v.Backends {
		if backend.Era < v.Position.Era {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
