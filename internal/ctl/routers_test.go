package ctl

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/peering/peeringpb"
	"github.com/bluebellchute/bluebellchute/platform"
	"github.com/bluebellchute/bluebellchute/platform/standin"
)

// fakeRouter answers operators.
type fakeRouter struct {
	mu      sync.Mutex
	drained bool
	orders  int
	engines []*peeringpb.EnginePace
}

func (r *fakeRouter) Status(context.Context, *peeringpb.StatusRequest) (*peeringpb.StatusReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &peeringpb.StatusReply{
		Vm: "vm-1", Zone: "z1", Version: 7, ConfigAge: 4e8, Backends: 3, Running: 2, Follows: true,
		Evacuated: []string{"z2", "z9"},
		Uses:      []*peeringpb.AccountUse{{Account: "small", Asked: 10, Got: 10}, {Account: "large", Asked: 900, Got: 300}},
		Engines:   r.engines,
	}
	if r.drained {
		reply.NotReady = "drained by an operator"
	}
	return reply, nil
}

func (r *fakeRouter) Drain(_ context.Context, request *peeringpb.DrainRequest) (*peeringpb.DrainReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained = !request.Undo
	r.orders++
	return &peeringpb.DrainReply{Running: 2}, nil
}

// routerWorld is a stand-in store with one router.
type routerWorld struct {
	t       *testing.T
	store   *standin.Store
	router  *fakeRouter
	address string // of the router
	at      string // of the store
}

func newRouterWorld(t *testing.T) *routerWorld {
	w := &routerWorld{t: t, store: standin.NewStore(), router: &fakeRouter{}}
	w.address = w.serve(peeringpb.NewOperationServer(w.router))
	w.at = w.serve(w.store)
	w.store.Put(platform.KindRouters, "vm-1", map[string]any{"address": w.address, "zone": "z1"})
	return w
}

func (w *routerWorld) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	w.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// run runs a command line and returns what it prints and its exit status.
func (w *routerWorld) run(args ...string) (string, int) {
	var out bytes.Buffer
	app := New()
	app.Stdout, app.Stderr = &out, &out
	status := app.Run(append([]string{"--store", w.at}, args...))
	return out.String(), status
}

func (w *routerWorld) want(status int, part string, args ...string) {
	w.t.Helper()
	out, got := w.run(args...)
	if got != status || !strings.Contains(out, part) {
		w.t.Errorf("%v: exit status %d, want %d with %q:\n%s", args, got, status, part, out)
	}
}

func TestRouterCommands(t *testing.T) {
	w := newRouterWorld(t)
	w.want(ExitSuccess, "vm-1  z1    7        400ms  3         2        true     ready", "router", "list")
	w.want(ExitSuccess, "large    900    300\nsmall    10     10", "account", "uses")
	w.want(ExitSuccess, "leaves new callers to others; 2 requests", "router", "drain", w.address, "--operator", "ada", "--reason", "new kernel")
	w.want(ExitSuccess, "drained by an operator", "router", "list", "--router", w.address)
	w.want(ExitSuccess, "takes new callers again", "router", "drain", w.address, "--undo", "--operator", "ada")
	w.want(ExitSuccess, "new kernel", "router", "orders")
	out, _ := w.run("router", "orders", "--output", "json")
	if strings.Count(out, `"operator":"ada"`) != 2 || !strings.Contains(out, "undrain") {
		t.Errorf("the audit trail lacks orders: %s", out)
	}
	w.store.Put(platform.KindRouters, "vm-2", map[string]any{"address": "127.0.0.1:1", "zone": "z1"})
	w.want(ExitIncomplete, "1 of 2 routers don't answer", "router", "list")
}

// Symptom: a router is drained and nobody knows who did it.
// Events: the store is down while an operator gives the order.
// Cause: the order went out although it could not be recorded.
// An order that no router knows yet, one in force, and one that was withdrawn but that a
// router still keeps to are told apart.
func TestEvacuationsAreShown(t *testing.T) {
	w := newRouterWorld(t)
	w.store.Put(platform.KindEvacuations, "z1", map[string]any{})
	w.store.Put(platform.KindEvacuations, "z2", map[string]any{"operator": "ada"})
	w.want(ExitSuccess, "z1    3         0 of 1    {}\nz2    4         1 of 1    {\"operator\":\"ada\"}\nz9    0         1 of 1    -", "router", "evacuations")
}

func TestOrderThatIsNotRecordedIsNotGiven(t *testing.T) {
	w := newRouterWorld(t)
	w.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	w.want(ExitFailure, "the order was not given", "router", "drain", w.address)
	w.want(ExitFailure, "--router names them", "router", "list")
	w.want(ExitSuccess, "vm-1", "router", "list", "--router", w.address)
	if w.router.orders != 0 {
		t.Error("the router was told")
	}
}

// Symptom: an order stands twice in the audit trail, or counts as not recorded
// though it is.
// Events: the store keeps the record and its reply is lost.
// Cause: the record was tried again under another name.
func TestLostReplyToARecord(t *testing.T) {
	w := newRouterWorld(t)
	w.store.SetFaults(standin.Faults{LoseReplies: true})
	time.AfterFunc(50*time.Millisecond, func() { w.store.SetFaults(standin.Faults{}) })
	w.want(ExitSuccess, "leaves new callers", "router", "drain", w.address, "--reason", "once")
	if out, _ := w.run("router", "orders"); strings.Count(out, "once") != 1 {
		t.Errorf("the audit trail: %s", out)
	}
}

func TestRecordWhoseRepliesAreAllLost(t *testing.T) {
	w := newRouterWorld(t)
	w.store.SetFaults(standin.Faults{LoseReplies: true})
	w.want(ExitFailure, "not known whether the record was kept", "router", "drain", w.address)
	if w.router.orders != 0 {
		t.Error("the router was told")
	}
}

func TestRouterThatDoesNotAnswerAnOrder(t *testing.T) {
	w := newRouterWorld(t)
	w.want(ExitUnknown, "is not known", "router", "drain", "127.0.0.1:1")
}

func TestStoreMustBeNamed(t *testing.T) {
	var out bytes.Buffer
	app := New()
	app.Stdout, app.Stderr = &out, &out
	if status := app.Run([]string{"router", "orders"}); status != ExitUsage {
		t.Errorf("exit status %d: %s", status, &out)
	}
}
