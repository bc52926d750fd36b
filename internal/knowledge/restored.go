package knowledge

import (
	"slices"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// A store that has come back from an older copy has lost its last seconds. Backend
// servers and operators write again what they had written, one after the other within
// some seconds. Until then the list shows servers as they were before: ready though they
// leave, warm though they are cold, present though they are gone. Requests sent by such
// entries would meet servers that are about to end or to break. What a server says itself
// tells which entry is older: it numbers its entries, and goes on counting.

const (
	// rewriteTime is how long after the store has come back its entries may be older
	// than known ones: longer than servers take to write theirs again, and than the
	// store takes to drop the entry of one that is silent.
	rewriteTime = 10 * time.Second
	// removalLife is how long a removal is remembered: longer than a store is away
	// and what it loses then.
	removalLife = 30 * time.Second
)

// removal is the last entry of a backend server that was removed from the list.
type removal struct {
	entry *Backend
	at    boottime.Instant
	upTo  Position // by which it was removed
}

// rewriting tells whether the store has just come back from an older copy.
func (v *View) rewriting(now boottime.Instant) bool {
	return v.RestoredAt != 0 && now.Sub(v.RestoredAt) < rewriteTime
}

// outdated tells whether the entry that is told is older than the known one of the same
// start of a backend server. Another router may tell one that it keeps from before.
func (v *View) outdated(known, told *Backend, now boottime.Instant) bool {
	if told.Era == known.Era {
		return told.Revision < known.Revision
	}
	if !known.Draining && told.ColdRemaining > known.ColdRemaining {
		// It may have started again under its id, and counts anew. Taken for warm, it
		// would break.
		return false
	}
	return v.rewriting(now) && told.Sequence < known.Sequence
}

// revived tells whether the entry is that of a backend server that was removed before
// the store went back.
func (v *View) revived(told *Backend, now boottime.Instant) bool {
	removed, known := v.removed[told.ID]
	if !known || !v.rewriting(now) || now.Sub(removed.at) >= removalLife {
		return false
	}
	return told.Era > removed.entry.Era && told.StartedAt <= removed.entry.StartedAt && told.Sequence <= removed.entry.Sequence
}

// noteRemovals remembers the backend servers that are not in the list any more, as it is
// at the position.
func (v *View) noteRemovals(before map[string]*Backend, at Position, now boottime.Instant) {
	removed := make(map[string]removal)
	for id, known := range v.removed {
		switch {
		case v.Backends[id] != nil: // back, which its entry tells
		case now.Sub(known.at) < removalLife:
			removed[id] = known
		default:
			v.tracedFrom = Newest(v.tracedFrom, known.upTo)
		}
	}
	for id, known := range before {
		if v.Backends[id] == nil {
			removed[id] = removal{entry: known, at: now, upTo: at}
		}
	}
	v.removed = removed
}

// RetainedFromOlderEra returns the ids, in order, of the backend servers that count as they were
// before the store came back from an older copy.
func (v *View) RetainedFromOlderEra() []string {
	kept := []string{}
	for id, backend := range v.Backends {
		if backend.Era < v.Position.Era {
			kept = append(kept, id)
		}
	}
	slices.Sort(kept)
	return kept
}
