// Package streamorigin remembers at which software streams began, and decides which routers
// keep that. It does no I/O.
package streamorigin

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// Stream identifies a stream: the hash of the id of the attempt that brought its first event.
type Stream uint64

// StreamOf returns the stream that the attempt began.
func StreamOf(attempt string) Stream { return Stream(xxhash.Sum64String(attempt)) }

// Origin is where a stream began.
type Origin struct {
	// Software is that of the backend server that began it, Ambiguous if streams of several
	// began with one id, which callers must not reuse.
	Software knowledge.SoftwareID
	Until    boottime.Instant // the stream can't be taken up afterwards
	Stored   bool             // known only from a record of an earlier process
}

// merge returns what two records of one stream tell.
func (o Origin) merge(other Origin) Origin {
	return Origin{Software: mergeSoftware(o.Software, other.Software), Until: max(o.Until, other.Until)}
}

// mergeSoftware returns what two records of one stream tell of its software.
func mergeSoftware(a, b knowledge.SoftwareID) knowledge.SoftwareID {
	switch {
	case a == b, b == Uncertain:
		return a
	case a == Uncertain:
		return b // a later list has confirmed it
	}
	return Ambiguous
}

// Ambiguous is the software of streams that began at several with one id. They can't be taken
// up.
const Ambiguous knowledge.SoftwareID = 0

// Uncertain is the software of streams that began at a backend server whose version is not certain,
// until a later list confirms it. No backend server has it.
const Uncertain = ^knowledge.SoftwareID(0)

// MaxTime bounds the time for which an origin is kept.
const MaxTime = knowledge.VersionHistory

// MaxOrigins is how many origins a table holds. It then forgets those that were set first.
const MaxOrigins = 1 << 15

// Table holds the origins of streams that may still be taken up. Its methods may be called
// concurrently.
type Table struct {
	mu      sync.Mutex
	origins *simplelru.LRU[Stream, Origin]
	stored  storedOrigins
}

// NewTable returns an empty table.
func NewTable() *Table {
	origins, err := simplelru.NewLRU[Stream, Origin](MaxOrigins, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &Table{origins: origins}
}

// Set records where a stream began. An origin is forgotten when its time is over. It reports
// whether the stream is ambiguous because of this record.
func (t *Table) Set(stream Stream, origin Origin, now boottime.Instant) (conflicts bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	origin.Until = min(origin.Until, now.Add(MaxTime))
	if known, found := t.origins.Peek(stream); found && known.Until > now {
		merged := known.merge(origin)
		conflicts = merged.Software == Ambiguous && known.Software != Ambiguous && origin.Software != Ambiguous
		origin = merged
	}
	t.origins.Add(stream, origin)
	return conflicts
}

// expire removes the oldest origins while their time is over.
func (t *Table) expire(now boottime.Instant) {
	if t.stored.until <= now {
		t.stored = storedOrigins{}
	}
	for {
		stream, origin, found := t.origins.GetOldest()
		if !found || origin.Until > now {
			return
		}
		t.origins.Remove(stream)
	}
}

// Find returns the origin of a stream, false if it is unknown or the time is over.
func (t *Table) Find(stream Stream, now boottime.Instant) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	origin, found := t.origins.Peek(stream)
	found = found && origin.Until > now
	stored, read := t.stored.find(stream, now)
	switch {
	case found && read:
		return origin.merge(stored), true
	case read:
		return stored, true
	}
	return origin, found
}

// SetStored sets the records that earlier processes have written. They last until the given time.
func (t *Table) SetStored(records []Record, until boottime.Instant) {
	stored := newStoredOrigins(records, until)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stored = stored
}

// Len returns the number of origins held.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.origins.Len()
}
