package agent

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// endedTable remembers how requests ended after their answers are gone, in
// bounded memory. Without it a delayed copy of a dispatch would run a request
// a second time.
//
// The table forgets oldest first. Each time it forgets, it raises its horizon
// to the time in the forgotten id. An id made after the horizon that is not in
// the table has never been here; of an older one nothing can be said. A fresh
// agent starts with its own start as the horizon, so a restart and a full
// table are the same case.
type endedTable struct {
	limit   int
	life    time.Duration
	states  map[fleet.RequestID]rpc.RequestState
	order   []endedEntry
	first   int // index of the oldest entry in order
	horizon time.Time
}

type endedEntry struct {
	id fleet.RequestID
	at time.Time
}

func newEndedTable(limit int, life time.Duration, start time.Time) *endedTable {
	return &endedTable{
		limit:   limit,
		life:    life,
		states:  make(map[fleet.RequestID]rpc.RequestState),
		horizon: start,
	}
}

// get returns the state of an id, or REQUEST_STATE_UNSPECIFIED.
func (t *endedTable) get(id fleet.RequestID) rpc.RequestState { return t.states[id] }

// covers tells whether the table would know the id if it had been here.
func (t *endedTable) covers(id fleet.RequestID) bool {
	return madeAt(id).Add(-MaxClockSkew).After(t.horizon)
}

// full tells that nothing can be added without forgetting an entry that a
// message under way may still ask about.
func (t *endedTable) full(now time.Time) bool {
	return len(t.states) >= t.limit && now.Sub(t.order[t.first].at) < MinEndedLife
}

// put remembers the state of an id.
func (t *endedTable) put(id fleet.RequestID, state rpc.RequestState, now time.Time) {
	if _, known := t.states[id]; !known {
		t.order = append(t.order, endedEntry{id: id, at: now})
	}
	t.states[id] = state
	t.expire(now)
}

// expire forgets the entries that are too old or too many.
func (t *endedTable) expire(now time.Time) {
	for t.first < len(t.order) {
		oldest := t.order[t.first]
		age := now.Sub(oldest.at)
		surplus := len(t.states) > t.limit && age >= MinEndedLife
		if age < t.life && !surplus {
			break
		}
		t.forget(oldest.id, now)
	}
	t.compact()
}

func (t *endedTable) forget(id fleet.RequestID, now time.Time) {
	delete(t.states, id)
	t.first++
	made := madeAt(id)
	if made.After(now) {
		// A router whose clock is ahead must not make this agent forget the
		// ids of all others.
		made = now
	}
	if made.After(t.horizon) {
		t.horizon = made
	}
}

// compact gives back the memory of forgotten entries.
func (t *endedTable) compact() {
	if t.first < 1024 || t.first < len(t.order)/2 {
		return
	}
	t.order = append([]endedEntry(nil), t.order[t.first:]...)
	t.first = 0
}

// madeAt is the time in a UUIDv7.
func madeAt(id fleet.RequestID) time.Time {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}
