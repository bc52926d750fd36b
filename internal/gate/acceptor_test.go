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
	"github.com/bluebellchute/bluebellchute/internal/testaddr"
)

// noPeers is the Peers of a fleet with one router.
type noPeers struct{}

func (noPeers) Load(uint32) BackendLoad                            { return BackendLoad{} }
func (noPeers) Paces(boottime.Instant) map[uint32]pace.Observation { return nil }
func (noPeers) StoreContact() boottime.Instant                     { return 0 }
func (noPeers) WatchesStore() bool                                 { return true }
func (noPeers) Routers() int                                       { return 1 }
func (noPeers) Unheard(boottime.Instant) int                       { return 0 }
func (noPeers) Order(uint64) (int, int)                            { return 0, 1 }
func (noPeers) Settled() bool                                      { return true }

// plainDialect decodes requests as they are.
type plainDialect struct{}

func (plainDialect) Decode(r *http.Request) (*Request, error) {
	return &Request{Method: r.Method, URI: r.RequestURI, Path: r.URL.Path, Host: r.Host, Header: r.Header}, nil
}
func (plainDialect) ForwardHeader(forward *Forward) http.Header { return forward.Request.Header }
func (plainDialect) ProbePath() string                          { return "/" }
func (plainDialect) Reply(int, http.Header) Reply               { return Reply{Signed: true} }
func (plainDialect) StripSignature(http.Header)                 {}

// listeningGate runs a gate with the given maximum number of connections and returns its
// address.
func listeningGate(t *testing.T, connections int) (*Manager, string) {
	t.Helper()
	address := testaddr.Free(t)
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

// Guards against requests that wait a second for a connection and are forwarded after their
// callers have disconnected. This happens when callers that retry open a new connection
// each time, leave it open, and so use up the maximum.
func TestIdleConnectionsLeaveRoomForNewOnes(t *testing.T) {
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
			t.Errorf("connection %d is closed after its answer though few are open", i)
		}
	}
}

// contactPeers are other routers that the store last answered at the given time.
type contactPeers struct {
	noPeers
	contact boottime.Instant
}

func (p contactPeers) StoreContact() boottime.Instant { return p.contact }

// Guards against serving callers badly at routers that the store does not answer while it
// answers others: the load balancer must not send callers to them.
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

// Guards against unanswered requests around a planned stop: the load balancer goes on
// sending connections until two readiness checks have failed, so they must still be
// accepted.
func TestConnectionsAreAcceptedUntilTheLoadBalancerNotices(t *testing.T) {
	manager, address := listeningGate(t, 10)
	keptAlive, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer keptAlive.Close()
	if response := ask(t, keptAlive); response.Close {
		t.Error("a connection is closed unnecessarily")
	}
	drained := make(chan error, 1)
	go func() { drained <- manager.Drain(context.Background()) }()
	time.Sleep(500 * time.Millisecond)
	if manager.options.Readiness.NotReady() == "" {
		t.Error("the readiness is not withdrawn")
	}
	// Closing idle connections immediately would cut off requests whose headers have just
	// been read.
	if response := ask(t, keptAlive); !response.Close {
		t.Error("a keep-alive connection stays open after its answer though the process stops")
	}
	late, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	if response := ask(t, late); !response.Close {
		t.Error("a new connection stays open after its answer though the process stops")
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

func TestLimitsOfNewConfigurationApply(t *testing.T) {
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

// fakeCPU is a cpuMonitor whose state is set by a test.
type fakeCPU struct {
	isStalled  atomic.Bool
	sheddings  atomic.Int64
	recoveries atomic.Int64
}

func (p *fakeCPU) stalled() bool   { return p.isStalled.Load() }
func (p *fakeCPU) recordShedding() { p.sheddings.Add(1) }
func (p *fakeCPU) recovered() bool { return !p.isStalled.Load() }

func (p *fakeCPU) recordRecovery(time.Duration) { p.recoveries.Add(1) }

// Guards against accepting connections, or letting them wait to be accepted, while a small
// VM gets more callers than it can even refuse: requests in progress would be late, and
// callers would wait a second before they try another router.
func TestConnectionsAreRefusedWhileRequestsAreStalled(t *testing.T) {
	cpu := new(fakeCPU)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	address := testaddr.Free(t)
	e := newAcceptor(handler, 100, cpu, newDrainState())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.run(ctx, fleet.Address(address)) }()
	t.Cleanup(func() { cancel(); <-ended })
	awaitListener(t, address)
	time.Sleep(10 * time.Millisecond) // the next accept has begun
	cpu.isStalled.Store(true)
	first := dial(t, address)
	if !answersWithin(t, first, time.Second) {
		t.Fatal("the connection that accept was already waiting for has no answer")
	}
	time.Sleep(50 * time.Millisecond)
	if conn, err := net.Dial("tcp", address); err == nil {
		conn.Close()
		t.Error("a connection is accepted though requests in progress are stalled")
	}
	if cpu.sheddings.Load() != 1 {
		t.Errorf("%d overloads are recorded, want one", cpu.sheddings.Load())
	}
	cpu.isStalled.Store(false)
	awaitListener(t, address)
	if !answersWithin(t, dial(t, address), time.Second) {
		t.Error("a caller is not served after the stall")
	}
	if cpu.recoveries.Load() != 1 {
		t.Errorf("%d recoveries are recorded, want one", cpu.recoveries.Load())
	}
}

// Guards against a router that is stopped while it refuses connections, and then listens
// again when the overload ends, or never ends.
func TestStopWhileConnectionsAreRefused(t *testing.T) {
	cpu := new(fakeCPU)
	cpu.isStalled.Store(true)
	address := testaddr.Free(t)
	e := newAcceptor(http.NotFoundHandler(), 100, cpu, newDrainState())
	ended := make(chan error, 1)
	go func() { ended <- e.run(t.Context(), fleet.Address(address)) }()
	time.Sleep(20 * time.Millisecond)
	e.stopAccepting()
	cpu.isStalled.Store(false)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(time.Second):
		t.Fatal("the acceptor does not end")
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

// answersWithin reports whether the first byte of an answer comes in time.
func answersWithin(t *testing.T, conn net.Conn, timeout time.Duration) bool {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Read(make([]byte, 1))
	return err == nil
}

// Guards against refusing requests that still arrive at a router that an operator has
// drained, before the load balancer notices.
func TestDrainedRouterStillServesRequests(t *testing.T) {
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
		t.Errorf("status %d, closing %v; want the answer to an unknown route on a connection that is closed", answer.StatusCode, answer.Close)
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
