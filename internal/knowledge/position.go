package knowledge

import "cmp"

// Position is a place in the history of the platform's store. Revisions increase within an
// era. A store restored from an older copy starts a new era: its revisions fall back and
// are assigned again, so that one number names two states. Compared by revision alone, all
// new state would look old until the count passes the greatest revision known, and equal
// revisions would look like the same state.
type Position struct {
	// Era increases each time that the store is restored from an older copy. It is 0 if the
	// store does not report it.
	Era      uint64 `json:",omitempty"`
	Revision uint64
}

// Compare orders positions from the oldest to the newest.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether the position is older than the other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// Newest returns the newer of two positions.
func Newest(p, other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}
