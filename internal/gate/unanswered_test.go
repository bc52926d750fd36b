package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/bluebellchute/bluebellchute/internal/event"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/testaddr"
)

// recordedAcceptor is an acceptor that runs and records connections without an answer.
type recordedAcceptor struct {
	*acceptor
	address  string
	logs     *test.Hook
	registry *prometheus.Registry
}

// runAcceptor runs an acceptor with the given maximum number of connections.
func runAcceptor(t *testing.T, connections int, cpu cpuMonitor, handler http.HandlerFunc) *recordedAcceptor {
	t.Helper()
	logger, hook := test.NewNullLogger()
	a := &recordedAcceptor{
		acceptor: newAcceptor(handler, connections, cpu, newDrainState()),
		address:  testaddr.Free(t),
		logs:     hook,
		registry: prometheus.NewRegistry(),
	}
	a.record(newUnansweredLog(logger, a.registry))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.run(ctx, fleet.Address(a.address)) }()
	t.Cleanup(func() { cancel(); <-ended })
	awaitListener(t, a.address)
	return a
}

// count returns the number of unanswered connections of the cause.
func (a *recordedAcceptor) count(t *testing.T, cause unansweredCause) int {
	t.Helper()
	families, err := a.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	if len(families) == 0 {
		return 0
	}
	for _, metric := range families[0].GetMetric() {
		if metric.GetLabel()[0].GetValue() == string(cause) {
			return int(metric.GetCounter().GetValue())
		}
	}
	return 0
}

// Guards against connections that end without an answer and without a record.
func TestConnectionsWithoutAnAnswerAreRecorded(t *testing.T) {
	for _, test := range []struct {
		name  string
		cause unansweredCause
		event event.Event
		end   func(t *testing.T, a *recordedAcceptor, conn net.Conn)
	}{
		{"closed with unread bytes", causeUnread, event.GateClosedUnread, func(t *testing.T, a *recordedAcceptor, conn net.Conn) {
			sendUnread(t, conn, "/hold")
			for _, accepted := range a.callers.all() {
				accepted.Close()
			}
		}},
		{"panic", causePanic, event.GatePanicked, func(t *testing.T, _ *recordedAcceptor, conn net.Conn) {
			if _, err := request(conn, "/panic"); err == nil {
				t.Error("the handler that panics answers")
			}
		}},
		{"end of the drain", causeDrainEnd, event.GateClosedInProgress, func(t *testing.T, a *recordedAcceptor, conn net.Conn) {
			sendUnread(t, conn, "/hold")
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			a.stopAccepting()
			a.finish(ended)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			hold := make(chan struct{})
			t.Cleanup(func() { close(hold) })
			a := runAcceptor(t, 10, idleCPU{}, func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/panic" {
					panic("defect")
				}
				<-hold
			})
			conn, err := net.Dial("tcp", a.address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
			test.end(t, a, conn)
			if got := a.count(t, test.cause); got != 1 {
				t.Errorf("%d counted, want one", got)
			}
			if got := logEntries(a.logs, test.event); got != 1 {
				t.Errorf("%d records, want one", got)
			}
		})
	}
}

// sendUnread sends a request that is served, and bytes after it that are not read meanwhile.
func sendUnread(t *testing.T, conn net.Conn, path string) {
	t.Helper()
	for _, text := range []string{"GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\n"} {
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // until it is read
	}
}
