package gate

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/bluebellchute/bluebellchute/internal/event"
)

// silent never answers.
func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// headOnly answers with a head and a part of the body.
func headOnly(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "100")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// endlessBody answers with a body that is too long to be held.
func endlessBody(w http.ResponseWriter, r *http.Request) {
	piece := make([]byte, 1<<16)
	for r.Context().Err() == nil {
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

// counted returns how many records of the event there are.
func counted(hook *test.Hook, which event.Event) int {
	count := 0
	for _, entry := range hook.AllEntries() {
		if entry.Data["event"] == which.Number {
			count++
		}
	}
	return count
}

// Guards against records of failed backend servers when the caller has left.
func TestCallerThatLeavesIsNoFailureOfTheServer(t *testing.T) {
	for name, exchange := range map[string]struct {
		path  string
		serve http.HandlerFunc
	}{
		"before the answer":       {"/whole/x", silent},
		"in the middle of a body": {"/whole/x", headOnly},
		"in a long body":          {"/whole/x", endlessBody},
		"before a stream":         {"/stream/x", silent},
		"in a stream":             {"/stream/x", endless},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startDrainingGate(t, 15*time.Second, exchange.serve)
			conn := g.connect(t)
			go func() { _, _ = request(conn, exchange.path) }() // it gets no answer
			awaitCount(t, "arrivals", func() int { return int(g.arrived.Load()) })
			time.Sleep(50 * time.Millisecond) // until a head that is sent has come
			conn.Close()
			awaitCount(t, "records of a caller that left", func() int { return counted(g.records, event.GateCallerDisconnected) })
			for _, wrong := range []event.Event{event.GateSendFailed, event.GateStreamAborted, event.GateRefused} {
				if count := counted(g.records, wrong); count != 0 {
					t.Errorf("%d records of %q", count, wrong.Message)
				}
			}
		})
	}
}

// Guards against records of failed backend servers when draining ends.
func TestEndOfDrainingIsNoFailureOfTheServer(t *testing.T) {
	t.Parallel()
	g := startDrainingGate(t, 15*time.Second, endless)
	g.startStream(t)
	if err := g.Drain(context.Background()); err == nil {
		t.Error("the end tells of no request that was cut")
	}
	awaitCount(t, "streams broken off", func() int { return counted(g.records, event.GateStreamAborted) })
	if count := counted(g.records, event.GateSendFailed); count != 0 {
		t.Errorf("%d records of a failed server", count)
	}
}

// awaitCount waits until the count is one.
func awaitCount(t *testing.T, what string, count func() int) {
	t.Helper()
	for ends := time.Now().Add(3 * time.Second); count() != 1; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(ends) {
			t.Fatalf("%d %s, want one", count(), what)
		}
	}
}
