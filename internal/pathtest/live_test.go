// Package pathtest tests the complete path of a request through routers and
// agents, with simulated and with real networks.
package pathtest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/bluebellchute/bluebellchute/internal/agent"
	"github.com/bluebellchute/bluebellchute/internal/control"
	"github.com/bluebellchute/bluebellchute/internal/daemon"
	"github.com/bluebellchute/bluebellchute/internal/engine"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/inifile"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/router"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

const (
	token       = "fleet-token"
	apiKey      = "key"
	testTimeout = 30 * time.Second // bounds each wait, so that a test always ends
)

// tree returns the settings of the live tests.
func tree(t testing.TB) settings.View {
	t.Helper()
	hash := sha256.Sum256([]byte(apiKey))
	text := fmt.Sprintf(`
[services/lm]
kind = model
idempotent = true
[services/app]
kind = plain
[acme/lab/ann]

api_key_sha256 = %s
`, hex.EncodeToString(hash[:]))
	parsed, err := settings.ParseINI([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return settings.NewView(parsed.WithRevision(1))
}

// staticFleet is the view of a fleet that does not change.
type staticFleet struct {
	view     settings.View
	members  membership.View
	envelope rpc.Envelope
}

func (k *staticFleet) Settings() settings.View       { return k.view }
func (k *staticFleet) Members() membership.View      { return k.members }
func (k *staticFleet) Verdicts() []*rpc.Verdict      { return nil }
func (k *staticFleet) Changed() <-chan struct{}      { return nil }
func (k *staticFleet) ReceiveEnvelope(*rpc.Envelope) {}
func (k *staticFleet) SetLeaving(bool)               {}
func (k *staticFleet) PlatformLeaving() bool         { return false }
func (k *staticFleet) CallFailed(fleet.Address)      {}
func (k *staticFleet) AddVerdict(*rpc.Verdict)       {}
func (k *staticFleet) Envelope() *rpc.Envelope {
	return &rpc.Envelope{Sender: k.envelope.Sender, Incarnation: k.envelope.Incarnation}
}

// live is a fleet in one process that communicates over loopback.
type live struct {
	t       testing.TB
	ctx     context.Context
	cancel  context.CancelFunc
	view    settings.View
	nodes   []fleet.Node
	engines []*engine.Engine
	logger  logrus.FieldLogger
	start   []func()
}

func newLive(t testing.TB) *live {
	ctx, cancel := context.WithCancel(context.Background())
	logger, _ := logtest.NewNullLogger()
	return &live{t: t, ctx: ctx, cancel: cancel, view: tree(t), logger: logger}
}

// allocatedPorts holds the addresses that freePort has returned. freePort closes
// its listener, after which the kernel may assign the same port again.
var allocatedPorts sync.Map

// freePort returns a loopback address that nobody listens on. It never returns
// the same address twice.
func freePort(t testing.TB) fleet.Address {
	t.Helper()
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := fleet.Address(listener.Addr().String())
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		if _, taken := allocatedPorts.LoadOrStore(address, true); !taken {
			return address
		}
	}
}

func (l *live) run(name string, service interface{ Run(context.Context) error }) {
	l.start = append(l.start, func() {
		ended := make(chan error, 1)
		go func() { ended <- service.Run(l.ctx) }()
		l.t.Cleanup(func() {
			l.cancel()
			if err := <-ended; err != nil {
				l.t.Errorf("%s: %v", name, err)
			}
		})
	})
}

// newStaticFleet returns the view of one node and adds the node to the fleet. The
// list of members is set by startAll.
func (l *live) newStaticFleet(node fleet.Node) *staticFleet {
	k := &staticFleet{view: l.view, envelope: rpc.Envelope{Sender: string(node.Control), Incarnation: uint64(time.Now().UnixNano())}}
	l.nodes = append(l.nodes, node)
	l.start = append([]func(){func() { k.members = membership.View{Version: 1, Nodes: l.nodes} }}, l.start...)
	return k
}

func (l *live) server(node fleet.Node, service rpc.TwirpServer) *control.Pool {
	registry := prometheus.NewRegistry()
	metrics := control.NewMetrics(registry)
	server := control.NewServer(control.ServerConfig{
		Address: node.Control, Token: token, Metrics: metrics, Gatherer: registry, Readiness: daemon.NewReadiness(),
	})
	server.Register(service)
	l.run("control port", server)
	return control.NewPool(token, metrics)
}

// lazyPool allows a manager to be created before its pool.
type lazyPool struct{ *control.Pool }

// addAgent adds an engine with its agent. dataAt maps the agent's data address to
// the one that is announced to routers; nil announces the agent's own.
func (l *live) addAgent(service fleet.Service, config engine.Config, dataAt func(fleet.Address) fleet.Address) *engine.Engine {
	l.t.Helper()
	backend, err := engine.Listen(config, "127.0.0.1:0")
	if err != nil {
		l.t.Fatal(err)
	}
	l.run("engine", backend)
	l.engines = append(l.engines, backend)
	own := &agent.Config{}
	text := fmt.Sprintf("[node]\nvm=v\nzone=z\nregion=r\ncontrol=%s\ndata=%s\n[platform]\naddress=127.0.0.1:1\n[control]\ntoken=%s\n[backend]\nservice=%s\naddress=%s\n",
		freePort(l.t), freePort(l.t), token, service, backend.Address())
	if err := inifile.Parse("agent", []byte(text), own); err != nil {
		l.t.Fatal(err)
	}
	node := fleet.Node{VM: "v", Role: fleet.RoleAgent, Control: own.Node.Control, Data: own.Node.Data, Zone: "z", Service: service, State: fleet.VMLive}
	if dataAt != nil {
		node.Data = dataAt(node.Data)
	}
	k := l.newStaticFleet(node)
	pool := &lazyPool{}
	manager := agent.NewManager(agent.Options{
		Config: own, Incarnation: k.envelope.Incarnation, Fleet: k, Clients: pool,
		Readiness: daemon.NewReadiness(), Registerer: prometheus.NewRegistry(), Logger: l.logger,
	})
	pool.Pool = l.server(node, rpc.NewAgentServer(manager.Control(), control.WithoutSender()))
	l.run("agent", manager)
	return backend
}

// addRouter adds a router and returns its base URL.
func (l *live) addRouter() string {
	l.t.Helper()
	config := &router.Config{}
	text := fmt.Sprintf("[node]\nvm=v\nzone=z\nregion=r\ncontrol=%s\ndata=%s\n[platform]\naddress=127.0.0.1:1\n[control]\ntoken=%s\n",
		freePort(l.t), freePort(l.t), token)
	if err := inifile.Parse("router", []byte(text), config); err != nil {
		l.t.Fatal(err)
	}
	node := fleet.Node{VM: "w", Role: fleet.RoleRouter, Control: config.Node.Control, Data: config.Node.Data, Zone: "z", State: fleet.VMLive}
	k := l.newStaticFleet(node)
	pool := &lazyPool{}
	manager := router.NewManager(router.Options{
		Self: node, Incarnation: k.envelope.Incarnation, Callers: config.Callers, Token: token, Fleet: k, Agents: pool,
		Readiness: daemon.NewReadiness(), Registerer: prometheus.NewRegistry(), Logger: l.logger,
	})
	pool.Pool = l.server(node, rpc.NewRouterServer(manager.Server(), control.WithoutSender()))
	l.run("router", manager)
	return "http://" + string(node.Data)
}

// startAll starts all services and waits until the router at base answers calls.
func (l *live) startAll(base string) {
	for _, start := range l.start {
		start()
	}
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		answer, err := call(base, "GET", "/svc/none", "", nil)
		if err == nil && answer.status == http.StatusNotFound {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	l.t.Fatal("the router does not answer")
}

type answer struct {
	status  int
	outcome string
	id      string
	body    string
}

func call(base, method, path, body string, headers map[string]string) (answer, error) {
	request, err := http.NewRequest(method, base+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	got := answer{response.StatusCode, response.Header.Get("Bluebell-Outcome"), response.Header.Get("Bluebell-Request"), string(read)}
	return got, err
}

func TestLivePath(t *testing.T) {
	l := newLive(t)
	model := l.addAgent("lm", engine.Config{Slots: 2}, nil)
	plain := l.addAgent("app", engine.Config{Plain: true, Slots: 2}, nil)
	base := l.addRouter()
	l.startAll(base)
	for _, test := range []struct {
		name, path, body, contains string
		engine                     *engine.Engine
	}{
		{"whole", "/v1/chat/completions", `{"model":"lm","x_tokens":5}`, `"usage"`, model},
		{"stream", "/v1/completions", `{"model":"lm","x_tokens":5,"stream":true}`, "data: [DONE]\n\n: bluebell-outcome completed\n\n", model},
		{"plain", "/svc/app/lap", `{}`, "", plain},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := call(base, "POST", test.path, test.body, nil)
			if err != nil || got.status != 200 || !strings.Contains(got.body, test.contains) {
				t.Fatalf("got %+v, %v", got, err)
			}
			if runs := test.engine.Runs(got.id); runs != 1 {
				t.Errorf("%d runs", runs)
			}
		})
	}
}

// A router refuses to start if its data port is its control port. A listener that
// was closed to free its port lets the kernel assign the same port again.
func TestFreePortsDiffer(t *testing.T) {
	seen := make(map[fleet.Address]bool)
	for range 2000 {
		address := freePort(t)
		if seen[address] {
			t.Fatalf("%s was returned twice", address)
		}
		seen[address] = true
	}
}
