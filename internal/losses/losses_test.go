package losses

import (
	"bytes"
	"strings"
	"testing"
)

// log is the collected log of two routers, with a time and a name before each
// record and with a line that is not a record.
const log = `  0.5 edge-1 {"event":1001,"msg":"started","node":"edge-1","time":"2026-01-05T10:00:00Z"}
  1.0 edge-1 {"event":2124,"node":"edge-1","time":"2026-01-05T10:00:04Z","capacity":100,"shortage":0.5,"headroom":{"s":0.4},"routes":{"scale":{"in_time":3,"refused":{"over-share":2}}},"accounts":[{"account":"large","asked":900,"served":200},{"account":"small","asked":50,"served":50}]}
panic: not a record {
  1.0 edge-2 {"event":2124,"node":"edge-2","time":"2026-01-05T10:00:04Z","capacity":100,"routes":{"scale":{"late":1,"failed":1,"left":1,"refused":{"busy":1}}},"accounts":[{"account":"large","asked":100,"served":0}]}
  2.0 edge-1 {"event":2113,"node":"edge-1","time":"2026-01-05T10:00:05Z","kind":"config"}
  2.0 edge-2 {"event":2113,"node":"edge-2","time":"2026-01-05T10:00:05Z","kind":"config"}
  2.5 edge-1 {"event":2102,"node":"edge-1","time":"2026-01-05T10:00:06Z","request":"r1","reason":"busy"}
  9.5 edge-1 {"event":2114,"node":"edge-1","time":"2026-01-05T10:00:13Z","kind":"config"}
`

// read reads a log in which every record is valid.
func read(t *testing.T, log string, handle func(record Record) error) {
	t.Helper()
	invalid, err := Read(strings.NewReader(log), handle)
	if invalid != 0 || err != nil {
		t.Fatalf("%d invalid records, error %v", invalid, err)
	}
}

// Guards against a report that ends at the first unreadable record: a router
// killed while it writes leaves a truncated record, and another version may log
// counts of another type. The remaining records must still be counted.
func TestInvalidRecordsAreSkippedAndCounted(t *testing.T) {
	invalid := `  3.0 edge-1 {"event":2124,"node":"edge-1","rou
  3.1 edge-1 {"event":2124,"node":"edge-1","time":"2026-01-05T10:00:07Z","routes":7}
`
	report := NewReport()
	count, err := Read(strings.NewReader(invalid+log+invalid), report.Add)
	if count != 4 || err != nil {
		t.Errorf("%d invalid records, error %v; want 4", count, err)
	}
	report.Finish()
	if len(report.Seconds) != 1 || report.Seconds[0].Total() != 9 {
		t.Errorf("%d seconds; valid records are not counted", len(report.Seconds))
	}
}

func TestReportSumsRouters(t *testing.T) {
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
	// 400 tokens in four seconds: 50 for the small account, the rest for the
	// large one.
	large, small := report.Accounts["large"], report.Accounts["small"]
	if large.Owed != 350 || large.Missed != 150 || small.Owed != 50 || small.Missed != 0 {
		t.Errorf("large %+v, small %+v", large, small)
	}
	if route := report.Routes["scale"]; route.Refused["over-share"] != 2 || route.Refused["busy"] != 1 {
		t.Errorf("route %+v", route)
	}
}

func TestTraceIncludesRouterState(t *testing.T) {
	trace := NewRequestTrace("r1")
	read(t, log, trace.Add)
	records := trace.Records()
	if len(records) != 2 || records[0].Event != 2113 || records[0].Node != "edge-1" || records[1].Request != "r1" {
		t.Errorf("records %+v", records)
	}
}

func TestPlotIsSVG(t *testing.T) {
	report := NewReport()
	later := strings.ReplaceAll(log, "10:00:04Z", "10:00:05Z")
	read(t, log+later, report.Add)
	report.Finish()
	var out bytes.Buffer
	if err := report.Plot(&out); err != nil || !strings.HasPrefix(out.String(), "<svg") {
		t.Errorf("%.20s, %v", out.String(), err)
	}
}
