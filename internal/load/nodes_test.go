package load

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// fakeNode serves metrics whose counters increase with each reading.
func fakeNode(t *testing.T, cpu func(reading int) float64) fleet.Address {
	t.Helper()
	reading := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reading++
		fmt.Fprintf(w, "# TYPE bluebell_control_bytes_total counter\n")
		fmt.Fprintf(w, "bluebell_control_bytes_total{class=\"offer\",direction=\"in\"} %d\n", 100*reading)
		fmt.Fprintf(w, "bluebell_control_bytes_total{class=\"offer\",direction=\"out\"} %d\n", 200*reading)
		fmt.Fprintf(w, "bluebell_control_bytes_total{class=\"scrape\",direction=\"out\"} %d\n", 9000*reading)
		fmt.Fprintf(w, "# TYPE process_cpu_seconds_total counter\nprocess_cpu_seconds_total %v\n", cpu(reading))
		fmt.Fprintf(w, "# TYPE process_resident_memory_bytes gauge\nprocess_resident_memory_bytes 2.097152e+06\n")
	}))
	t.Cleanup(server.Close)
	return fleet.Address(strings.TrimPrefix(server.URL, "http://"))
}

// TestRoleReport reads a node that keeps running and one that restarted, whose
// counters must not be used.
func TestRoleReport(t *testing.T) {
	steady := fakeNode(t, func(reading int) float64 { return float64(reading) })
	restarted := fakeNode(t, func(reading int) float64 { return 5 - float64(reading) })
	addresses := []fleet.Address{steady, restarted}
	before := readNodes(addresses)
	for i := range before {
		before[i].at = before[i].at.Add(-1000 * time.Second)
	}
	usage := newRoleReport(addresses, before)
	if usage.Nodes != 2 || usage.NotRead != 1 || usage.MemoryMB.Max != 2 {
		t.Errorf("%+v", usage)
	}
	if rate := usage.ControlBytes.Max; rate < 0.25 || rate > 0.3 {
		t.Errorf("%v control bytes per second, want 300 in a thousand seconds, without the scrapes themselves", rate)
	}
}
