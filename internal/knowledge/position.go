package knowledge

import "cmp"

// Position is a place in the history of the platform's store. Within an era revisions
// rise. A store that comes back from an older copy of itself begins a new era: its
// revisions go back and are given out again, so that one number then names two states.
// Compared by revision alone, all that is told after that looks old until the count has
// passed the greatest revision known, and equal revisions look like the same state.
type Position struct {
	// Era rises each time that the store has come back from an older copy. It is 0
	// where the store does not tell.
	Era      uint64 `json:",omitempty"`
	Revision uint64
}

// Compare orders positions from the oldest to the newest.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before tells whether the position is older than the other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// Newest returns the newer of two positions.
func Newest(p, other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}
