package pace

import (
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// window is the time over which the least work time is taken. The usual work time is
// that of two windows, the one in progress and the one before.
const window = 10 * time.Second

// Table holds what this router has seen of backend servers, by the hashes of their
// incarnations. Its methods may be called concurrently.
type Table struct {
	mu      sync.Mutex
	servers map[uint32]*seen
}

// seen is what this router has seen of one backend server.
type seen struct {
	began         boottime.Instant // of the window in progress
	least, before float64          // least work times of this window and the one before, 0 for none
	newest        float64          // work time
	newestAt      boottime.Instant
	sums          Observation // the sums alone, as of sumsAt
	sumsAt        boottime.Instant
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{servers: make(map[uint32]*seen)} }

// RecordReport notes what a backend server told with an answer. A report without a usable work
// time is ignored.
func (t *Table) RecordReport(server uint32, report Report, now boottime.Instant) {
	if !ValidWorkTime(report.WorkTime) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.servers[server]
	if known == nil {
		known = &seen{began: now, sumsAt: now}
		t.servers[server] = known
	}
	known.rotate(now)
	known.least = leastKnown(known.least, report.WorkTime)
	if now >= known.newestAt {
		known.newest, known.newestAt = report.WorkTime, now
	}
}

// rotate begins new windows until the moment is in the one in progress.
func (s *seen) rotate(now boottime.Instant) {
	passed := now.Sub(s.began)
	if passed < window {
		return
	}
	s.before, s.least = s.least, 0
	if passed >= 2*window {
		s.before = 0
	}
	s.began = s.began.Add(passed / window * window)
}

// usual returns the least work time told in the two windows, 0 if none was told.
func (s *seen) usual(now boottime.Instant) float64 {
	s.rotate(now)
	return leastKnown(s.least, s.before)
}

// add adds to the sums.
func (s *seen) add(sums Observation, now boottime.Instant) {
	s.sums = s.sums.Decayed(now.Sub(s.sumsAt)).Merge(sums)
	s.sumsAt = max(s.sumsAt, now)
}

// RecordFirstEvent notes that an engine took the time until the first event of a request, while so
// many prompt tokens were waiting there, the request's own included. Of servers that
// tell no work time nothing is kept, as nothing is decided by it.
func (t *Table) RecordFirstEvent(server uint32, tokens float64, took time.Duration, now boottime.Instant) {
	t.add(server, Observation{ReadTokens: tokens, ReadSeconds: took.Seconds()}, now)
}

// RecordStreamEnd notes the end of a whole stream, and whether it was late.
func (t *Table) RecordStreamEnd(server uint32, late bool, now boottime.Instant) {
	ended := Observation{Streams: 1}
	if late {
		ended.Late = 1
	}
	t.add(server, ended, now)
}

func (t *Table) add(server uint32, sums Observation, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.servers[server]; known != nil {
		known.add(sums, now)
	}
}

// Own returns what this router has seen, as of the moment, of the servers that told a
// work time of late. It is nil if there are none.
func (t *Table) Own(now boottime.Instant) map[uint32]Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own map[uint32]Observation
	for server, known := range t.servers {
		usual := known.usual(now)
		if usual == 0 {
			delete(t.servers, server)
			continue
		}
		if own == nil {
			own = make(map[uint32]Observation, len(t.servers))
		}
		observation := known.sums.Decayed(now.Sub(known.sumsAt))
		observation.Usual, observation.Now, observation.NowAt = usual, known.newest, known.newestAt
		own[server] = observation
	}
	return own
}

// Retain forgets the backend servers that are not listed any more.
func (t *Table) Retain(listed map[uint32]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server := range t.servers {
		if !listed[server] {
			delete(t.servers, server)
		}
	}
}
