package streamorigin

import (
	"cmp"
	"slices"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// MaxStored is how many records of other processes a table holds.
const MaxStored = 1 << 18

// storedOrigins are the records that a router has read at its start, sorted by stream. They take
// less memory than the entries of the table, as the records of a whole fleet are among them.
type storedOrigins struct {
	records []Record
	until   boottime.Instant
}

// newStoredOrigins returns the records without duplicates. Streams that began at several software
// versions are ambiguous. Records beyond MaxStored are left out, the last ones first.
func newStoredOrigins(records []Record, until boottime.Instant) storedOrigins {
	sorted := slices.Clone(records[:min(len(records), MaxStored)])
	slices.SortFunc(sorted, func(a, b Record) int { return cmp.Compare(a.Stream, b.Stream) })
	merged := sorted[:0]
	for _, record := range sorted {
		last := len(merged) - 1
		switch {
		case last < 0 || merged[last].Stream != record.Stream:
			merged = append(merged, record)
		default:
			merged[last].Software = mergeSoftware(merged[last].Software, record.Software)
		}
	}
	return storedOrigins{records: merged, until: until}
}

func (s storedOrigins) find(stream Stream, now boottime.Instant) (Origin, bool) {
	at, found := slices.BinarySearchFunc(s.records, stream, func(record Record, target Stream) int {
		return cmp.Compare(record.Stream, target)
	})
	if !found || s.until <= now {
		return Origin{}, false
	}
	return Origin{Software: s.records[at].Software, Until: s.until, Stored: true}, true
}
