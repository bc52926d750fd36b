package fairshare

import (
	"cmp"
	"slices"
)

// hold brings the waiting accounts' clocks together: none stays further than
// the window from its neighbour on the side of the virtual time. What lies
// beyond is forgiven.
//
// Without it an account whose total has jumped, as after a partition, would be
// shut out until the others had caught up with the whole jump, or would take
// every slot until it had caught up itself.
//
// A clock is moved together with all those beyond it. If each were cut off at
// the same distance from the virtual time, two accounts that can't be given
// their share, because few servers run their requests, would be cut off at the
// same clock each time; nothing would tell any more which of them got less.
func (h *Home) hold() {
	if h.config.Window <= 0 || h.waiting == 0 {
		return
	}
	var ahead, behind []*row
	virtual := h.virtual()
	for _, r := range h.rows {
		switch {
		case !r.counts():
		case r.clock() >= virtual:
			ahead = append(ahead, r)
		default:
			behind = append(behind, r)
		}
	}
	slices.SortFunc(ahead, func(a, b *row) int { return cmp.Compare(a.clock(), b.clock()) })
	slices.SortFunc(behind, func(a, b *row) int { return cmp.Compare(b.clock(), a.clock()) })
	h.close(ahead, 1)
	h.close(behind, -1)
}

// close closes what exceeds the window between each row and the one before it,
// beginning at the virtual time. sign is the direction away from it.
func (h *Home) close(rows []*row, sign Units) {
	window := h.window()
	before := h.virtual()
	var forgiven Units
	for _, r := range rows {
		clock := r.clock() - sign*forgiven
		if excess := sign*(clock-before) - window; excess > 0 {
			forgiven += excess
			clock -= sign * excess
		}
		r.shift += clock - r.clock()
		before = clock
	}
}

// window is the repayment window as a difference of clocks. It is set for an
// account of the mean weight, so that it doesn't depend on the weights' scale.
func (h *Home) window() Units { return h.config.Window * Units(h.waiting) / h.weights }
