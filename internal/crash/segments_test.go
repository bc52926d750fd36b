package crash

import (
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// Guards against memory that grows with what servers that go down name.
func TestEvidenceIsBounded(t *testing.T) {
	table := NewSegmentTable()
	now := testStart
	for server := range uint32(3 * maxServerCrashes) {
		now = now.Add(60 * time.Millisecond)
		var segments []Segment
		for i := range 2 * maxSegmentsOfCrash {
			segments = append(segments, Segment(int(server)*2*maxSegmentsOfCrash+i))
		}
		table.Crashed(server, now, append([]Segment{harmful}, segments...), now)
	}
	table.Update(now)
	table.Next(tellLimit, now)
	if len(table.crashes) > maxServerCrashes || table.pairs > maxPairs+maxSegmentsOfCrash {
		t.Errorf("%d crashes and %d segments are kept", len(table.crashes), len(table.accused))
	}
	if table.Judge([]Segment{harmful}, func(Segment) int { return 1 }, now).Conviction == nil {
		t.Error("the segment that was in all crashes is not refused")
	}
	table.Next(tellLimit, now.Add(refusalTTL+time.Second))
	if len(table.crashes)+len(table.accused) > 0 {
		t.Errorf("%d crashes and %d segments are kept after their time", len(table.crashes), len(table.accused))
	}
}

// Guards against a refusal that ends while requests with the segment still come, though each of
// them reaches another router.
func TestRefusalLastsWhileRequestsCome(t *testing.T) {
	now := testStart
	tables := []*SegmentTable{NewSegmentTable(), NewSegmentTable()}
	for server := range uint32(6) {
		tables[0].Crashed(server, now.Add(time.Duration(server)*time.Second), []Segment{harmful}, now)
	}
	tables[0].Update(now)
	first := func(Segment) int { return 0 }
	for round := range 20 {
		now = now.Add(refusalTTL / 2)
		if round == 0 {
			told, _ := tables[0].Refused(0, 4096, now)
			tables[1].Receive(told, now)
		}
		if tables[round%2].Judge([]Segment{harmful}, first, now).Conviction == nil {
			t.Fatalf("a request is let through after %v", now.Sub(testStart))
		}
		for from, to := range []*SegmentTable{tables[1], tables[0]} {
			to.Receive(tables[from].Next(tellLimit, now), now)
		}
	}
}

// Guards against a router on a VM that has just started and goes on refusing a segment, or stops
// refusing one, as it takes what happened before the VM's start for unknown.
func TestEvidenceFromBeforeTheStartOfTheVMCounts(t *testing.T) {
	now := boottime.Instant(3 * time.Second)
	told := Evidence{
		Sound:   []SegmentAge{{Segment: common, Age: time.Minute}},
		Refused: []SegmentAge{{Segment: harmful, Age: refusalTTL - time.Minute}},
	}
	for server := range uint32(6) {
		age := refusalTTL - time.Minute + time.Duration(server)*time.Second
		told.Crashes = append(told.Crashes,
			ServerCrash{Down: true, Server: server, Age: 80*time.Second + time.Duration(server)*time.Second, Segments: []Segment{common}},
			ServerCrash{Down: true, Server: 100 + server, Age: age, Segments: []Segment{harmful}})
	}
	table := NewSegmentTable()
	table.Receive(told, now)
	refuses := func(segment Segment) bool {
		return table.Judge([]Segment{segment}, func(Segment) int { return 1 }, now).Conviction != nil
	}
	if refuses(common) || !refuses(harmful) {
		t.Errorf("refused: sound segment %v, harmful one %v", refuses(common), refuses(harmful))
	}
	table = NewSegmentTable()
	table.Receive(told, now)
	now = now.Add(2 * time.Minute)
	table.Update(now)
	if refuses(harmful) {
		t.Error("a refusal outlives its time")
	}
}
