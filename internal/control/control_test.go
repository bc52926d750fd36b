package control

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/twitchtv/twirp"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/testrelay"
)

// testTimeout bounds the wait for an event. No result depends on its length.
const testTimeout = 30 * time.Second

type peer struct{ rpc.Peer }

func (peer) Status(context.Context, *rpc.StatusRequest) (*rpc.StatusReply, error) {
	return &rpc.StatusReply{Vm: strings.Repeat("v", 1000)}, nil
}

type readiness struct{ reason atomic.Value }

func (r *readiness) NotReady() string { return r.reason.Load().(string) }

// node is a running server on a free loopback port.
type node struct {
	address   fleet.Address
	metrics   *Metrics
	readiness *readiness
}

func startNode(t testing.TB, services ...rpc.TwirpServer) node {
	t.Helper()
	registry := prometheus.NewRegistry()
	n := node{metrics: NewMetrics(registry), readiness: &readiness{}}
	n.readiness.reason.Store("starting")
	server := NewServer(ServerConfig{
		Address: "127.0.0.1:0", Token: "secret", Metrics: n.metrics, Gatherer: registry, Readiness: n.readiness,
	})
	server.Register(rpc.NewPeerServer(peer{}))
	for _, service := range services {
		server.Register(service)
	}
	if err := server.Listen(); err != nil {
		t.Fatal(err)
	}
	n.address = fleet.Address(server.listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("server: %v", err)
		}
	})
	return n
}

func status(pool *Pool, address fleet.Address) error {
	return statusWithin(pool, address, testTimeout)
}

// statusWithin calls Status and cancels the call after the timeout.
func statusWithin(pool *Pool, address fleet.Address, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := pool.Peer(address).Status(ctx, &rpc.StatusRequest{})
	return err
}

func TestTokenIsRequired(t *testing.T) {
	n := startNode(t)
	pool := NewPool("other", NewMetrics(prometheus.NewRegistry()))
	defer pool.Close()
	err := status(pool, n.address)
	var twirpError twirp.Error
	if !errors.As(err, &twirpError) || twirpError.Code() != twirp.Unauthenticated {
		t.Errorf("error %v, want unauthenticated", err)
	}
	var stepError *fleet.StepError
	if !errors.As(err, &stepError) || stepError.Peer != n.address || stepError.Step != fleet.StepSend {
		t.Errorf("error %v lacks step or peer", err)
	}
}

// TestClassesAddUp checks that both ends count the same bytes for a message, and
// that the classes add up to the bytes of the connections.
func TestClassesAddUp(t *testing.T) {
	n := startNode(t)
	client := NewMetrics(prometheus.NewRegistry())
	pool := NewPool("secret", client)
	defer pool.Close()
	for range 3 {
		if err := status(pool, n.address); err != nil {
			t.Fatal(err)
		}
	}
	const wantAnswers = 3 * 1003 // 1000 bytes of text with tag and length
	if got := client.bytes(ClassOther, directionIn); got != wantAnswers {
		t.Errorf("client received %d bytes of replies, want %d", got, wantAnswers)
	}
	if got := n.metrics.bytes(ClassOther, directionOut); got != wantAnswers {
		t.Errorf("server sent %d bytes of replies, want %d", got, wantAnswers)
	}
	framing := client.bytes(ClassFraming, directionIn)
	if framing == 0 || framing+wantAnswers != client.connections[directionIn].Load() {
		t.Errorf("%d bytes of framing and the bodies do not add up to %d bytes at the connection",
			framing, client.connections[directionIn].Load())
	}
}

func TestHealthAndMetrics(t *testing.T) {
	n := startNode(t)
	get := func(path string) (int, string) {
		response, err := http.Get("http://" + string(n.address) + path)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(body)
	}
	if code, _ := get("/healthz"); code != http.StatusOK {
		t.Errorf("healthz %d", code)
	}
	if code, body := get("/readyz"); code != http.StatusServiceUnavailable || !strings.Contains(body, "starting") {
		t.Errorf("readyz %d %s before the node is ready", code, body)
	}
	n.readiness.reason.Store("")
	if code, _ := get("/readyz"); code != http.StatusOK {
		t.Errorf("readyz %d when ready", code)
	}
	if _, body := get("/metrics"); !strings.Contains(body, `bluebell_control_bytes_total{class="scrape",direction="out"}`) {
		t.Errorf("no byte counts in %s", body)
	}
}

// Guards against calls to a healthy peer that time out permanently: a device on the
// path drops the state of an open connection and loses all its packets, and further
// calls use the same connection, which nothing closes.
func TestSilentConnectionIsReplaced(t *testing.T) {
	n := startNode(t)
	r := testrelay.Start(t, testrelay.Config{Target: n.address})
	pool := NewPool("secret", NewMetrics(prometheus.NewRegistry()))
	defer pool.Close()
	address := r.Address()
	if err := status(pool, address); err != nil {
		t.Fatal(err)
	}
	before := r.Connections()
	r.Blackhole()
	deadline := time.Now().Add(testTimeout)
	// Each call is cancelled before the connection can be found dead.
	for statusWithin(pool, address, probeDelay/4) != nil {
		if time.Now().After(deadline) {
			t.Fatal("the dead connection was never replaced")
		}
	}
	if r.Connections() == before {
		t.Error("a call succeeded without a new connection")
	}
}

// Guards against a fence that waits until a dead connection is detected, although a
// new connection would work immediately: ordinary calls to a peer share a connection.
func TestFreshAgentAvoidsSilentConnection(t *testing.T) {
	n := startNode(t)
	r := testrelay.Start(t, testrelay.Config{Target: n.address})
	pool := NewPool("secret", NewMetrics(prometheus.NewRegistry()))
	defer pool.Close()
	address := r.Address()
	if err := status(pool, address); err != nil {
		t.Fatal(err)
	}
	r.Blackhole()
	_, err := pool.FreshAgent(address).Fence(context.Background(), &rpc.FenceRequest{})
	var twirpError twirp.Error
	if !errors.As(err, &twirpError) || twirpError.Code() != twirp.BadRoute {
		t.Errorf("error %v, want the node's reply that it is no agent", err)
	}
}
