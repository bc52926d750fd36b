package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
	"github.com/bluebellchute/bluebellchute/internal/pace"
	"github.com/bluebellchute/bluebellchute/internal/policy"
)

// noPeers is a fleet of one router.
type noPeers struct{}

func (noPeers) Load(uint32) BackendLoad                            { return BackendLoad{} }
func (noPeers) Paces(boottime.Instant) map[uint32]pace.Observation { return nil }
func (noPeers) StoreContact() boottime.Instant                     { return 0 }
func (noPeers) WatchesStore() bool                                 { return true }
func (noPeers) Routers() int                                       { return 1 }
func (noPeers) Order(uint64) (int, int)                            { return 0, 1 }
func (noPeers) Settled() bool                                      { return true }

// plainDialect takes requests as they are.
type plainDialect struct{}

func (plainDialect) Decode(r *http.Request) (*Request, error) {
	return &Request{Method: r.Method, URI: r.RequestURI, Path: r.URL.Path, Host: r.Host, Header: r.Header}, nil
}
func (plainDialect) ForwardHeader(forward *Forward) http.Header { return forward.Request.Header }
func (plainDialect) Reply(int, http.Header) Reply               { return Reply{Signed: true} }
func (plainDialect) StripSignature(http.Header)                 {}

// listeningGate runs a gate with the number of connections and returns its
// address.
func listeningGate(t *testing.T, connections int) (*Manager, string) {
	t.Helper()
	address := freeAddress(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	manager := NewManager(Options{
		Settings:    Settings{Admission: policy.Settings{RetryShare: 0.5}},
		Callers:     fleet.Address(address),
		Connections: connections,
		Grace:       3 * time.Second,
		Dialect:     plainDialect{},
		State:       knowledge.NewState(),
		Peers:       noPeers{},
		Readiness:   daemon.NewReadiness(),
		Registerer:  prometheus.NewRegistry(),
		Logger:      logger,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := manager.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-ended })
	awaitListener(t, address)
	return manager, address
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func awaitListener(t *testing.T, address string) {
	t.Helper()
	for range 200 {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			conn.Close()
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("nothing listens at %s", address)
}

// ask sends a request on a connection and returns its answer.
func ask(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	if _, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response
}

// Symptom: requests wait a second for their connection and are sent on after
// their callers have left.
// Events: callers that come back open a connection each time and leave it
// open.
// Cause: all connections that the router accepts were taken by idle ones.
func TestIdleConnectionsDoNotTakeAllPlaces(t *testing.T) {
	_, address := listeningGate(t, 10)
	for i := range 30 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
			t.Fatal(err)
		}
		response := ask(t, conn)
		if response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %d", response.StatusCode)
		}
		if i < 3 && response.Close {
			t.Errorf("connection %d is closed after its answer though there is room", i)
		}
	}
}

// contactPeers are other routers that the store answered at a moment.
type contactPeers struct {
	noPeers
	contact boottime.Instant
}

func (p contactPeers) StoreContact() boottime.Instant { return p.contact }

// Symptom: callers of some routers are served badly, and others wait for
// engines that work for them.
// Events: the store answers some routers and not others.
// Cause: the balancer went on sending callers to all.
func TestRouterWithoutStoreLeavesCallersToOthers(t *testing.T) {
	known := knowledge.NewState()
	now := boottime.Now()
	known.SetConfiguration(&knowledge.Configuration{Version: 1}, now)
	known.SetBackends(nil, knowledge.Position{Revision: 1}, now)
	for name, test := range map[string]struct {
		own, others time.Duration // age of the last contact, 0 for none
		isolated    bool
	}{
		"all in contact":                  {time.Second, 100 * time.Millisecond, false},
		"cut off":                         {3 * time.Second, 100 * time.Millisecond, true},
		"the store answers nobody":        {9 * time.Second, 0, false},
		"an outage has just begun":        {3 * time.Second, 2 * time.Second, false},
		"started while the store is away": {time.Hour, 0, false},
	} {
		view := *known.View()
		view.StoreContact = now.Add(-test.own)
		peers := contactPeers{}
		if test.others != 0 {
			peers.contact = now.Add(-test.others)
		}
		manager := &Manager{
			options: Options{Peers: peers},
			handler: &handler{settings: newCurrentSettings(Settings{Revoke: 5 * time.Second})},
		}
		if got := manager.isolated(&view); got != test.isolated {
			t.Errorf("%s: isolated %t", name, got)
		}
	}
}

// Symptom: a request gets no answer around a planned stop.
// Events: the process is told to stop; the balancer goes on sending
// connections until it has asked for readiness twice.
// Cause: connections were no longer accepted.
func TestConnectionsAreTakenUntilTheBalancerHasHeard(t *testing.T) {
	manager, address := listeningGate(t, 10)
	kept, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	if response := ask(t, kept); response.Close {
		t.Error("a connection is closed without need")
	}
	drained := make(chan error, 1)
	go func() { drained <- manager.Drain(context.Background()) }()
	time.Sleep(500 * time.Millisecond)
	if manager.options.Readiness.NotReady() == "" {
		t.Error("the balancer is not told")
	}
	// Closing idle connections at once would cut requests whose heads have
	// just been read.
	if response := ask(t, kept); !response.Close {
		t.Error("a kept connection stays open after its answer though the process stops")
	}
	late, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	if response := ask(t, late); !response.Close {
		t.Error("a connection is kept though the process stops")
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

func TestLimitsOfNewConfigurationHold(t *testing.T) {
	manager, address := listeningGate(t, 10)
	manager.acceptor.applyLimits(knowledge.Limits{HeaderBytes: 1 << 10, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ask(t, conn)
	began := time.Now()
	if _, err := io.ReadAll(conn); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("an idle connection was closed after %v", took)
	}
}

// fakeCPU stands still or not as a test says.
type fakeCPU struct {
	isStalled  atomic.Bool
	sheddings  atomic.Int64
	recoveries atomic.Int64
}

func (p *fakeCPU) stalled() bool   { return p.isStalled.Load() }
func (p *fakeCPU) recordShedding() { p.sheddings.Add(1) }
func (p *fakeCPU) recovered() bool { return !p.isStalled.Load() }

func (p *fakeCPU) recordRecovery(time.Duration) { p.recoveries.Add(1) }

// Symptom: requests in hand are late, and callers wait for a second to find that
// a router does not serve them.
// Events: one small VM gets more callers than it can even refuse.
// Cause: all were accepted, or left waiting to be.
func TestCallersAreTurnedAwayWhileRequestsStandStill(t *testing.T) {
	load := new(fakeCPU)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	address := freeAddress(t)
	e := newAcceptor(handler, 100, load, newDrainState())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.run(ctx, fleet.Address(address)) }()
	t.Cleanup(func() { cancel(); <-ended })
	awaitListener(t, address)
	time.Sleep(10 * time.Millisecond) // the next accept has begun
	load.isStalled.Store(true)
	first := dial(t, address)
	if !answersWithin(t, first, time.Second) {
		t.Fatal("the connection that was awaited already has no answer")
	}
	time.Sleep(50 * time.Millisecond)
	if conn, err := net.Dial("tcp", address); err == nil {
		conn.Close()
		t.Error("a caller is connected though requests in hand stand still")
	}
	if load.sheddings.Load() != 1 {
		t.Errorf("the balancer hears of %d overloads, want one", load.sheddings.Load())
	}
	load.isStalled.Store(false)
	awaitListener(t, address)
	if !answersWithin(t, dial(t, address), time.Second) {
		t.Error("a caller is not served after the standstill")
	}
	if load.recoveries.Load() != 1 {
		t.Errorf("%d reliefs are told, want one", load.recoveries.Load())
	}
}

// Symptom: a router that is told to stop while it turns callers away goes on to
// listen, and never ends.
// Events: an overload; the signal to stop; the overload ends.
func TestStopWhileCallersAreTurnedAway(t *testing.T) {
	load := new(fakeCPU)
	load.isStalled.Store(true)
	address := freeAddress(t)
	e := newAcceptor(http.NotFoundHandler(), 100, load, newDrainState())
	ended := make(chan error, 1)
	go func() { ended <- e.run(t.Context(), fleet.Address(address)) }()
	time.Sleep(20 * time.Millisecond)
	e.stopAccepting()
	load.isStalled.Store(false)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(time.Second):
		t.Fatal("the entry does not end")
	}
	if conn, err := net.Dial("tcp", address); err == nil {
		conn.Close()
		t.Error("it listens after it was stopped")
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return conn
}

// answersWithin tells whether a first byte comes in time.
func answersWithin(t *testing.T, conn net.Conn, most time.Duration) bool {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(most)); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Read(make([]byte, 1))
	return err == nil
}

// Symptom: callers are refused while an operator empties a router.
// Events: the order to drain comes; the balancer has not heard yet.
// Cause: a drained router refused what still came.
func TestDrainedRouterServesWhatComes(t *testing.T) {
	manager, address := listeningGate(t, 10)
	manager.options.State.SetConfiguration(knownView(boottime.Now()).Index.Configuration, boottime.Now())
	manager.options.State.SetBackends(nil, knowledge.Position{Revision: 1}, boottime.Now())
	manager.ApplyConfig(Settings{Freshness: Freshness{KeyMaxAge: time.Minute, DenialMaxAge: time.Minute}})
	manager.SetDrained(true, "ada", "new kernel")
	awaitReason(t, manager, reasonDrained)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answer := ask(t, conn)
	if answer.StatusCode != http.StatusNotFound || !answer.Close {
		t.Errorf("status %d, closing %v; want the answer to an unknown route, and the connection's end", answer.StatusCode, answer.Close)
	}
	manager.SetDrained(false, "ada", "")
	awaitReason(t, manager, "")
}

func awaitReason(t *testing.T, manager *Manager, want string) {
	t.Helper()
	for range 200 {
		if manager.options.Readiness.NotReady() == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not ready for %q, want %q", manager.options.Readiness.NotReady(), want)
}
