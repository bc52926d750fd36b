package streamorigin

import (
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// When all routers start at once, no table knows where earlier streams began. So some routers,
// the writers, collect origins in a journal, whose batches are kept outside of the routers. A
// batch tells what has happened, so one that is lost or out of date makes streams unknown, never
// wrong.

const (
	// MaxSlots bounds the batches of a router that are kept.
	MaxSlots = 512
	// slotRecords is how many records a slot holds before the next one is used. A slot is
	// written in full each time, so it must not grow large.
	slotRecords = 256
	// maxSlotRecords bounds the records of a slot while it can't be written.
	maxSlotRecords = 8192
)

// Record is the software at which a stream began.
type Record struct {
	Stream   Stream
	Software knowledge.SoftwareID
}

// Batch replaces what a slot holds.
type Batch struct {
	Slot    int
	Records []Record
	Lasts   time.Duration // from now on, until none of the streams can be taken up

	version uint64 // of the journal's content
}

// Journal collects the origins that a router writes. Its methods may be called concurrently.
type Journal struct {
	maxRecords int

	mu      sync.Mutex
	until   []boottime.Instant // by slot, until when one of its streams can be taken up
	slot    int                // that is being filled, -1 for none
	origins map[Stream]Origin  // in that slot
	version uint64             // rises with each change of origins
	written uint64             // the version that was last written
	dropped int
}

// NewJournal returns an empty journal whose batches have at most maxRecords records.
func NewJournal(maxRecords int) *Journal {
	return &Journal{maxRecords: min(maxRecords, maxSlotRecords), slot: -1, origins: make(map[Stream]Origin)}
}

// Add adds where a stream began.
func (j *Journal) Add(stream Stream, origin Origin, now boottime.Instant) {
	j.mu.Lock()
	defer j.mu.Unlock()
	origin.Until = min(origin.Until, now.Add(MaxTime))
	known, found := j.origins[stream]
	if !found && len(j.origins) >= j.maxRecords {
		j.dropped++
		return
	}
	if found {
		origin = known.merge(origin)
	}
	j.origins[stream] = origin
	j.version++
}

// Reserve spares a slot that an earlier process of this VM has written.
func (j *Journal) Reserve(slot int, until boottime.Instant) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if slot < 0 || slot >= MaxSlots {
		return
	}
	for len(j.until) <= slot {
		j.until = append(j.until, 0)
	}
	j.until[slot] = max(j.until[slot], until)
}

// Changed reports whether something was added since the last batch was written.
func (j *Journal) Changed() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.version != j.written
}

// Next returns the batch to write, false if nothing has changed since the last one was written.
func (j *Journal) Next(now boottime.Instant) (Batch, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.version == j.written {
		return Batch{}, false
	}
	batch := Batch{version: j.version}
	var until boottime.Instant
	for stream, origin := range j.origins {
		if origin.Until <= now {
			delete(j.origins, stream)
			continue
		}
		batch.Records = append(batch.Records, Record{Stream: stream, Software: origin.Software})
		until = max(until, origin.Until)
	}
	if len(batch.Records) == 0 {
		j.written = j.version
		return Batch{}, false
	}
	if j.slot < 0 {
		j.slot = j.freeSlot(now)
	}
	// Also if the write fails: it may have taken effect.
	j.until[j.slot] = max(j.until[j.slot], until)
	batch.Slot, batch.Lasts = j.slot, until.Sub(now)
	return batch, true
}

// freeSlot returns a slot whose streams can't be taken up any more or, if there is none, the one
// for which that is so first.
func (j *Journal) freeSlot(now boottime.Instant) int {
	first := 0
	for slot, until := range j.until {
		if until <= now {
			return slot
		}
		if until < j.until[first] {
			first = slot
		}
	}
	if len(j.until) >= MaxSlots {
		j.until[first] = 0
		return first
	}
	j.until = append(j.until, 0)
	return len(j.until) - 1
}

// Written records that a batch was written.
func (j *Journal) Written(batch Batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.written = batch.version
	if len(batch.Records) < min(slotRecords, j.maxRecords) {
		return
	}
	j.slot = -1
	for _, record := range batch.Records {
		if j.origins[record.Stream].Software == record.Software {
			delete(j.origins, record.Stream)
		}
	}
}

// TakeDropped returns how many origins found no room since the last call.
func (j *Journal) TakeDropped() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	dropped := j.dropped
	j.dropped = 0
	return dropped
}
