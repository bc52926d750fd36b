package gate

import (
	"maps"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/bluebellchute/bluebellchute/internal/backendconn"
	"github.com/bluebellchute/bluebellchute/internal/event"
)

// Guards against counts that are logged twice, empty log entries while nothing is opened,
// and lost idle times or stated timeouts.
func TestConnectionStatsLog(t *testing.T) {
	logger, hook := test.NewNullLogger()
	counted := newConnectionStats(logger, prometheus.NewRegistry())
	counted.logOpened()
	if n := len(hook.AllEntries()); n != 0 {
		t.Fatalf("%d log entries without opened connections", n)
	}
	for _, opening := range []backendconn.Opening{
		{Reason: backendconn.ReasonFirst},
		{Reason: backendconn.ReasonExpired, IdleTime: time.Second},
		{Reason: backendconn.ReasonExpired, IdleTime: 3 * time.Second, StatedTimeout: 2 * time.Second},
	} {
		counted.opened(opening)
	}
	counted.logOpened()
	counted.logOpened()
	if n := len(hook.AllEntries()); n != 1 {
		t.Fatalf("%d log entries, want 1", n)
	}
	fields := hook.LastEntry().Data
	if fields["event"] != event.GateConnections.Number {
		t.Errorf("event %v", fields["event"])
	}
	want := map[backendconn.Reason]int{backendconn.ReasonFirst: 1, backendconn.ReasonExpired: 2}
	if got, _ := fields["opened"].(map[backendconn.Reason]int); !maps.Equal(got, want) {
		t.Errorf("opened %v, want %v", got, want)
	}
	idle, _ := fields["idle"].(map[backendconn.Reason]*idleTimes)
	if len(idle) != 1 || idle[backendconn.ReasonExpired] == nil {
		t.Fatalf("idle times of %v, want of expired connections only", idle)
	}
	got := *idle[backendconn.ReasonExpired]
	got.count, got.sum = 0, 0
	if want := (idleTimes{Min: 1000, Mean: 2000, Max: 3000, StatedMin: 0, StatedMax: 2000}); got != want {
		t.Errorf("idle %+v, want %+v", got, want)
	}
}

// Guards against metrics that are not registered, and against idle times of 0 for reasons
// that have none.
func TestConnectionStatsMetrics(t *testing.T) {
	logger, _ := test.NewNullLogger()
	registry := prometheus.NewRegistry()
	counted := newConnectionStats(logger, registry)
	counted.opened(backendconn.Opening{Reason: backendconn.ReasonBusy})
	counted.opened(backendconn.Opening{Reason: backendconn.ReasonClosed, IdleTime: 3 * time.Second})
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			name := family.GetName() + " " + metric.GetLabel()[0].GetValue()
			if histogram := metric.GetHistogram(); histogram != nil {
				values[name] = histogram.GetSampleSum()
			} else {
				values[name] = metric.GetCounter().GetValue()
			}
		}
	}
	want := map[string]float64{
		"bluebell_gate_connections_opened_total busy":   1,
		"bluebell_gate_connections_opened_total closed": 1,
		"bluebell_gate_connection_idle_seconds closed":  3,
	}
	if !maps.Equal(values, want) {
		t.Errorf("metrics %v, want %v", values, want)
	}
}
