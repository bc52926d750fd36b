package agent

import (
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// fate is how a request without a row in the table of requests ended here.
type fate uint8

// The fates of a request.
const (
	fateUnknown fate = iota // it was never here, or is forgotten
	fateRefused             // refused; a later dispatch may run
	fateFenced              // it never ran here and never will
	fateRan                 // it ran or may have run; the answer is gone
)

// wireState is the fate as the control protocol names it.
func (f fate) wireState() rpc.RequestState {
	if f == fateFenced {
		return rpc.RequestState_REQUEST_STATE_FENCED
	}
	return rpc.RequestState_REQUEST_STATE_FAILED
}

// endedTable remembers the fates of requests in bounded memory. Without it a
// delayed copy of a dispatch would run a request a second time, or run one that
// its router was told is not run and has sent elsewhere.
//
// The table forgets oldest first. Each time it forgets, it raises its horizon
// to the time in the forgotten id. An id made after the horizon that is not in
// the table has never been here; of an older one nothing can be said. A fresh
// agent starts with its own start as the horizon, so a restart and a full
// table are the same case.
type endedTable struct {
	limit   int
	life    time.Duration
	rows    map[fleet.RequestID]endedRow
	order   []endedEntry
	first   int // index of the oldest entry in order
	horizon time.Time
}

type endedRow struct {
	fate    fate
	attempt uint32 // the last one that was refused
}

type endedEntry struct {
	id fleet.RequestID
	at time.Time
}

func newEndedTable(limit int, life time.Duration, start time.Time) *endedTable {
	return &endedTable{
		limit:   limit,
		life:    life,
		rows:    make(map[fleet.RequestID]endedRow),
		horizon: start,
	}
}

func (t *endedTable) len() int { return len(t.rows) }

// get returns the fate of an id.
func (t *endedTable) get(id fleet.RequestID) fate { return t.rows[id].fate }

// isNew tells whether a dispatch without a grant can be no copy of one that ran
// or was refused.
func (t *endedTable) isNew(id fleet.RequestID, attempt uint32) bool {
	row, known := t.rows[id]
	if known && (row.fate != fateRefused || attempt <= row.attempt) {
		return false
	}
	return t.covers(id)
}

// covers tells whether the table would know the id if it had been here.
func (t *endedTable) covers(id fleet.RequestID) bool {
	return madeAt(id).Add(-MaxClockSkew).After(t.horizon)
}

// full tells that nothing can be added without forgetting an entry that a
// message under way may still ask about.
func (t *endedTable) full(now time.Time) bool {
	return len(t.rows) >= t.limit && now.Sub(t.order[t.first].at) < MinEndedLife
}

// put remembers the fate of an id.
func (t *endedTable) put(now time.Time, id fleet.RequestID, end fate) {
	row, known := t.rows[id]
	row.fate = end
	t.store(now, id, row, known)
}

// refuse remembers that an attempt was refused. A full table raises the
// horizon over the id instead, which refuses copies as well.
func (t *endedTable) refuse(now time.Time, id fleet.RequestID, attempt uint32) {
	row, known := t.rows[id]
	if !known && t.full(now) {
		t.raise(now, id)
		return
	}
	if row.fate > fateRefused {
		return
	}
	row.fate = fateRefused
	row.attempt = max(row.attempt, attempt)
	t.store(now, id, row, known)
}

func (t *endedTable) store(now time.Time, id fleet.RequestID, row endedRow, known bool) {
	t.rows[id] = row
	if !known {
		t.order = append(t.order, endedEntry{id: id, at: now})
	}
	t.expire(now)
}

// expire forgets the entries that are too old or too many.
func (t *endedTable) expire(now time.Time) {
	for t.first < len(t.order) {
		oldest := t.order[t.first]
		age := now.Sub(oldest.at)
		surplus := len(t.rows) > t.limit && age >= MinEndedLife
		if age < t.life && !surplus {
			break
		}
		delete(t.rows, oldest.id)
		t.first++
		t.raise(now, oldest.id)
	}
	t.compact()
}

// raise moves the horizon to the time in a forgotten id. A router whose clock
// is ahead must not make this agent forget the ids of all others.
func (t *endedTable) raise(now time.Time, id fleet.RequestID) {
	made := madeAt(id)
	if made.After(now) {
		made = now
	}
	if made.After(t.horizon) {
		t.horizon = made
	}
}

// compact gives back the memory of forgotten entries.
func (t *endedTable) compact() {
	const worthwhile = 1024
	if t.first < worthwhile || t.first < len(t.order)/2 {
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
