package losses

import (
	"bytes"
	"strings"
	"testing"
)

// log is that of two routers, as it was gathered: with times and names before
// the records, and lines that are none.
const log = `  0.5 edge-1 {"event":1001,"msg":"started","node":"edge-1","time":"2026-01-05T10:00:00Z"}
  1.0 edge-1 {"event":2124,"node":"edge-1","time":"2026-01-05T10:00:04Z","capacity":100,"shortage":0.5,"headroom":{"s":0.4},"routes":{"scale":{"in_time":3,"refused":{"over-share":2}}},"accounts":[{"account":"large","asked":900,"served":200},{"account":"small","asked":50,"served":50}]}
panic: not a record {
  1.0 edge-2 {"event":2124,"node":"edge-2","time":"2026-01-05T10:00:04Z","capacity":100,"routes":{"scale":{"late":1,"failed":1,"left":1,"refused":{"busy":1}}},"accounts":[{"account":"large","asked":100,"served":0}]}
  2.0 edge-1 {"event":2113,"node":"edge-1","time":"2026-01-05T10:00:05Z","kind":"config"}
  2.0 edge-2 {"event":2113,"node":"edge-2","time":"2026-01-05T10:00:05Z","kind":"config"}
  2.5 edge-1 {"event":2102,"node":"edge-1","time":"2026-01-05T10:00:06Z","request":"r1","reason":"busy"}
  9.5 edge-1 {"event":2114,"node":"edge-1","time":"2026-01-05T10:00:13Z","kind":"config"}
`

// read reads a log that is whole.
func read(t *testing.T, log string, take func(record Record) error) {
	t.Helper()
	spoiled, err := Read(strings.NewReader(log), take)
	if spoiled != 0 || err != nil {
		t.Fatalf("%d records spoiled, error %v", spoiled, err)
	}
}

// Symptom: nothing is told of a whole day.
// Events: a router is killed while it writes a record; another writes a record
// whose counts are of another type.
// Cause: the log was given up at the first record that could not be read.
func TestSpoiledRecordsAreLeftOutAndCounted(t *testing.T) {
	spoiled := `  3.0 edge-1 {"event":2124,"node":"edge-1","rou
  3.1 edge-1 {"event":2124,"node":"edge-1","time":"2026-01-05T10:00:07Z","routes":7}
`
	report := NewReport()
	count, err := Read(strings.NewReader(spoiled+log+spoiled), report.Add)
	if count != 4 || err != nil {
		t.Errorf("%d records spoiled, error %v; want 4", count, err)
	}
	report.Finish()
	if len(report.Seconds) != 1 || report.Seconds[0].Total() != 9 {
		t.Errorf("%d seconds; what is whole does not count", len(report.Seconds))
	}
}

func TestReportAddsRoutersUp(t *testing.T) {
	report := NewReport()
	read(t, log, report.Add)
	report.Finish()
	if len(report.Seconds) != 1 {
		t.Fatalf("%d seconds", len(report.Seconds))
	}
	second := report.Seconds[0]
	if second.InTime != 3 || second.Late != 1 || second.TotalRefused() != 3 || second.Total() != 9 || second.Headroom != 0.4 || second.Shortage != 0.5 {
		t.Errorf("second %+v", second)
	}
	// 400 tokens in a span of four seconds: the small account's 50, the rest is
	// the large one's.
	large, small := report.Accounts["large"], report.Accounts["small"]
	if large.Owed != 350 || large.Missed != 150 || small.Owed != 50 || small.Missed != 0 {
		t.Errorf("large %+v, small %+v", large, small)
	}
	if route := report.Routes["scale"]; route.Refused["over-share"] != 2 || route.Refused["busy"] != 1 {
		t.Errorf("route %+v", route)
	}
}

func TestPathHasWhatItsRouterBelieved(t *testing.T) {
	path := NewRequestTrace("r1")
	read(t, log, path.Add)
	records := path.Records()
	if len(records) != 2 || records[0].Event != 2113 || records[0].Node != "edge-1" || records[1].Request != "r1" {
		t.Errorf("records %+v", records)
	}
}

func TestPlotIsAPicture(t *testing.T) {
	report := NewReport()
	later := strings.ReplaceAll(log, "10:00:04Z", "10:00:05Z")
	read(t, log+later, report.Add)
	report.Finish()
	var out bytes.Buffer
	if err := report.Plot(&out); err != nil || !strings.HasPrefix(out.String(), "<svg") {
		t.Errorf("%.20s, %v", out.String(), err)
	}
}
