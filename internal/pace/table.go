package pace

import (
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// window is the period over which the minimum work time is taken. The usual work time is
// the minimum over two windows, the current one and the one before.
const window = 10 * time.Second

// Table holds this router's observations of backend servers, by the hashes of their
// incarnations. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	servers map[uint32]*serverRecord
}

// serverRecord is what this router has observed of one backend server.
type serverRecord struct {
	windowStart            boottime.Instant
	windowMin, previousMin float64 // of the current window and the one before, 0 for none
	newest                 float64 // work time
	newestAt               boottime.Instant
	sums                   Observation // only the sums, as of sumsAt
	sumsAt                 boottime.Instant
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{servers: make(map[uint32]*serverRecord)} }

// RecordReport records a backend server's report. A report without a valid work time is
// ignored.
func (t *Table) RecordReport(server uint32, report Report, now boottime.Instant) {
	if !ValidWorkTime(report.WorkTime) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.servers[server]
	if record == nil {
		record = &serverRecord{windowStart: now, sumsAt: now}
		t.servers[server] = record
	}
	record.rotate(now)
	record.windowMin = minKnown(record.windowMin, report.WorkTime)
	if now >= record.newestAt {
		record.newest, record.newestAt = report.WorkTime, now
	}
}

// rotate starts new windows until the current one includes the time.
func (s *serverRecord) rotate(now boottime.Instant) {
	passed := now.Sub(s.windowStart)
	if passed < window {
		return
	}
	s.previousMin, s.windowMin = s.windowMin, 0
	if passed >= 2*window {
		s.previousMin = 0
	}
	s.windowStart = s.windowStart.Add(passed / window * window)
}

// usual returns the least work time reported in the two windows, 0 if none was reported.
func (s *serverRecord) usual(now boottime.Instant) float64 {
	s.rotate(now)
	return minKnown(s.windowMin, s.previousMin)
}

// add adds to the decaying sums.
func (s *serverRecord) add(sums Observation, now boottime.Instant) {
	s.sums = s.sums.Decayed(now.Sub(s.sumsAt)).Merge(sums)
	s.sumsAt = max(s.sumsAt, now)
}

// RecordFirstEvent records the time until the first event of a request, and the number of
// prompt tokens that were waiting at the engine, including the request's own. It is
// ignored for servers that report no work time, as no decision uses it.
func (t *Table) RecordFirstEvent(server uint32, tokens float64, elapsed time.Duration, now boottime.Instant) {
	t.add(server, Observation{ReadTokens: tokens, ReadSeconds: elapsed.Seconds()}, now)
}

// RecordStreamEnd records the end of a complete stream, and whether it was late.
func (t *Table) RecordStreamEnd(server uint32, late bool, now boottime.Instant) {
	ended := Observation{Streams: 1}
	if late {
		ended.Late = 1
	}
	t.add(server, ended, now)
}

// add adds to the sums of a server that reports its work time, and ignores others.
func (t *Table) add(server uint32, sums Observation, now boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record := t.servers[server]; record != nil {
		record.add(sums, now)
	}
}

// Own returns this router's observations as of the given time, for the servers that have
// recently reported a work time. It is nil if there are none.
func (t *Table) Own(now boottime.Instant) map[uint32]Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own map[uint32]Observation
	for server, record := range t.servers {
		usual := record.usual(now)
		if usual == 0 {
			delete(t.servers, server)
			continue
		}
		if own == nil {
			own = make(map[uint32]Observation, len(t.servers))
		}
		observation := record.sums.Decayed(now.Sub(record.sumsAt))
		observation.Usual, observation.Now, observation.NowAt = usual, record.newest, record.newestAt
		own[server] = observation
	}
	return own
}

// Retain drops the backend servers that are no longer listed.
func (t *Table) Retain(listed map[uint32]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server := range t.servers {
		if !listed[server] {
			delete(t.servers, server)
		}
	}
}
