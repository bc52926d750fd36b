package gate

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/bluebellchute/bluebellchute/internal/event"
)

func neverAnswers(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// headerOnly answers with a header and a part of the body.
func headerOnly(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "100")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// endlessBody answers with a body that is too long to be buffered.
func endlessBody(w http.ResponseWriter, r *http.Request) {
	chunk := make([]byte, 1<<16)
	for r.Context().Err() == nil {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// logEntries returns the number of log entries of the event.
func logEntries(hook *test.Hook, kind event.Event) int {
	count := 0
	for _, entry := range hook.AllEntries() {
		if entry.Data["event"] == kind.Number {
			count++
		}
	}
	return count
}

// Guards against logging a failure of the backend server when the caller has disconnected.
func TestCallerThatLeavesIsNoFailureOfTheServer(t *testing.T) {
	for name, exchange := range map[string]struct {
		path  string
		serve http.HandlerFunc
	}{
		"before the answer":       {"/whole/x", neverAnswers},
		"in the middle of a body": {"/whole/x", headerOnly},
		"in a long body":          {"/whole/x", endlessBody},
		"before a stream":         {"/stream/x", neverAnswers},
		"in a stream":             {"/stream/x", endlessStream},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startDrainingGate(t, 15*time.Second, exchange.serve)
			conn := g.connect(t)
			go func() { _, _ = request(conn, exchange.path) }() // it gets no answer
			awaitCount(t, "arrivals", func() int { return int(g.arrived.Load()) })
			time.Sleep(50 * time.Millisecond) // until a header that was sent has arrived
			conn.Close()
			awaitCount(t, "log entries of a disconnected caller", func() int { return logEntries(g.logs, event.GateCallerDisconnected) })
			for _, wrong := range []event.Event{event.GateSendFailed, event.GateStreamAborted, event.GateRefused} {
				if count := logEntries(g.logs, wrong); count != 0 {
					t.Errorf("%d log entries of %q", count, wrong.Message)
				}
			}
		})
	}
}

// Guards against logging a failure of the backend server when the end of draining cancels a
// request.
func TestEndOfDrainingIsNoFailureOfTheServer(t *testing.T) {
	t.Parallel()
	g := startDrainingGate(t, 15*time.Second, endlessStream)
	g.startStream(t)
	if err := g.Drain(context.Background()); err == nil {
		t.Error("Drain returns no error though a request was cancelled")
	}
	awaitCount(t, "aborted streams", func() int { return logEntries(g.logs, event.GateStreamAborted) })
	if count := logEntries(g.logs, event.GateSendFailed); count != 0 {
		t.Errorf("%d log entries of a failed server", count)
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
