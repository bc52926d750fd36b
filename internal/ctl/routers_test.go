package ctl

import (
	"bytes"
	"context"
	"io"
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

// fakeRouter is a router's interface for operators.
type fakeRouter struct {
	mu      sync.Mutex
	drained bool
	orders  int
	engines []*peeringpb.EnginePace
	refused []*peeringpb.RefusedSegment
	cleared []*peeringpb.ClearSegmentRequest
}

func (r *fakeRouter) Status(context.Context, *peeringpb.StatusRequest) (*peeringpb.StatusReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &peeringpb.StatusReply{
		Vm: "vm-1", Zone: "z1", Version: 7, ConfigAge: 4e8, Backends: 3, Running: 2, Follows: true,
		Evacuated: []string{"z2", "z9"},
		Uses:      []*peeringpb.AccountUse{{Account: "small", Asked: 10, Got: 10}, {Account: "large", Asked: 900, Got: 300}},
		Engines:   r.engines,

		RefusedSegments: r.refused,
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

func (r *fakeRouter) ClearSegment(_ context.Context, request *peeringpb.ClearSegmentRequest) (*peeringpb.ClearSegmentReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleared = append(r.cleared, request)
	return &peeringpb.ClearSegmentReply{Known: len(r.refused) > 0 && r.refused[0].Segment == request.Segment}, nil
}

// routerEnv is an environment with a stand-in store and one router.
type routerEnv struct {
	t            *testing.T
	store        *standin.Store
	router       *fakeRouter
	address      string // of the router
	storeAddress string // of the store
}

func newRouterEnv(t *testing.T) *routerEnv {
	e := &routerEnv{t: t, store: standin.NewStore(), router: &fakeRouter{}}
	e.address = e.serve(peeringpb.NewOperationServer(e.router))
	e.storeAddress = e.serve(e.store)
	e.store.Put(platform.KindRouters, "vm-1", map[string]any{"address": e.address, "zone": "z1"})
	return e
}

func (e *routerEnv) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	e.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// run runs a command line and returns its output and exit status.
func (e *routerEnv) run(args ...string) (string, int) {
	var out bytes.Buffer
	app := New()
	app.Stdout, app.Stderr = &out, &out
	status := app.Run(append([]string{"--store", e.storeAddress}, args...))
	return out.String(), status
}

func (e *routerEnv) expect(status int, part string, args ...string) {
	e.t.Helper()
	out, got := e.run(args...)
	if got != status || !strings.Contains(out, part) {
		e.t.Errorf("%v: exit status %d, want %d with %q:\n%s", args, got, status, part, out)
	}
}

// Guards against an operator who can't see what routers refuse, or whose order reaches no router
// or leaves no entry in the audit trail.
func TestRefusedSegmentsAreShownAndCleared(t *testing.T) {
	e := newRouterEnv(t)
	e.router.refused = []*peeringpb.RefusedSegment{{Segment: 0x5c1e, Server: []uint32{0xab, 0xcd}, RefusedAge: 3e9, Account: "kitchen", Id: "91bd"}}
	e.expect(ExitSuccess, "0000000000005c1e  kitchen  91bd     1        000000ab,000000cd  false      3s ago", "router", "segments")
	e.expect(ExitSuccess, "are sent again", "router", "clear-segment", "0000000000005c1e", "--operator", "ada", "--reason", "engine fixed")
	e.expect(ExitSuccess, "clear-segment 0000000000005c1e", "router", "orders")
	if len(e.router.cleared) != 1 || e.router.cleared[0].Segment != 0x5c1e || e.router.cleared[0].Operator != "ada" {
		t.Errorf("ordered %v", e.router.cleared)
	}
	e.expect(ExitSuccess, "no crash counted", "router", "clear-segment", "5c1f")
	e.expect(ExitUsage, "is no segment's key", "router", "clear-segment", "oats")
}

func TestRouterCommands(t *testing.T) {
	e := newRouterEnv(t)
	e.expect(ExitSuccess, "vm-1  z1    7        400ms  3         2        true     ready", "router", "list")
	e.expect(ExitSuccess, "large    900    300\nsmall    10     10", "account", "uses")
	e.expect(ExitSuccess, "leaves new callers to others; 2 requests", "router", "drain", e.address, "--operator", "ada", "--reason", "new kernel")
	e.expect(ExitSuccess, "drained by an operator", "router", "list", "--router", e.address)
	e.expect(ExitSuccess, "takes new callers again", "router", "drain", e.address, "--undo", "--operator", "ada")
	e.expect(ExitSuccess, "new kernel", "router", "orders")
	out, _ := e.run("router", "orders", "--output", "json")
	if strings.Count(out, `"operator":"ada"`) != 2 || !strings.Contains(out, "undrain") {
		t.Errorf("the audit trail lacks orders: %s", out)
	}
	e.store.Put(platform.KindRouters, "vm-2", map[string]any{"address": "127.0.0.1:1", "zone": "z1"})
	e.expect(ExitIncomplete, "1 of 2 routers don't answer", "router", "list")
}

// Guards against confusing an order that no router applies yet, one in force, and one
// that was withdrawn but that a router still applies.
func TestEvacuationsAreShown(t *testing.T) {
	e := newRouterEnv(t)
	e.store.Put(platform.KindEvacuations, "z1", map[string]any{})
	e.store.Put(platform.KindEvacuations, "z2", map[string]any{"operator": "ada"})
	e.expect(ExitSuccess, "z1    3         0 of 1    {}\nz2    4         1 of 1    {\"operator\":\"ada\"}\nz9    0         1 of 1    -", "router", "evacuations")
}

// Guards against objects that are left out or shown as empty, and against one that can't be read
// and hides the others.
func TestStoredObjectsAreShown(t *testing.T) {
	e := newRouterEnv(t)
	written := time.Now().Add(-90 * time.Second).UnixMilli()
	e.store.Put(platform.KindOrigins, "vm-1.0", map[string]any{"written_at": written, "origins": []any{map[string]any{"software": "6", "streams": make([]byte, 24)}}})
	e.store.Put(platform.KindOrigins, "vm-1.1", "odd")
	e.store.Put(platform.KindSegments, "0", map[string]any{"written_at": written, "crashes": []any{
		map[string]any{"server": 1, "segments": []string{"1", "2"}}, map[string]any{"server": 2, "segments": []string{"1"}},
	}})
	out, status := e.run("router", "stored")
	for _, want := range []string{"bluebell-origins   vm-1.0  3        1m30s", "bluebell-segments  0       2        1m30s", "bluebell-origins   vm-1.1  -        -"} {
		if status != ExitSuccess || !strings.Contains(out, want) {
			t.Errorf("exit status %d, want %q:\n%s", status, want, out)
		}
	}
}

// Guards against a drained router without an entry in the audit trail: an order that
// can't be recorded, because the store is down, must not be sent.
func TestOrderThatIsNotRecordedIsNotGiven(t *testing.T) {
	e := newRouterEnv(t)
	e.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	e.expect(ExitFailure, "the order was not sent", "router", "drain", e.address)
	e.expect(ExitFailure, "--router names them", "router", "list")
	e.expect(ExitSuccess, "vm-1", "router", "list", "--router", e.address)
	if e.router.orders != 0 {
		t.Error("the order was sent to the router")
	}
}

// Guards against an order that is recorded twice, or that counts as not recorded
// although it is: the store keeps the record and the reply is lost, and a retry must
// use the same name.
func TestLostReplyToARecord(t *testing.T) {
	e := newRouterEnv(t)
	e.store.SetFaults(standin.Faults{LoseReplies: true})
	time.AfterFunc(50*time.Millisecond, func() { e.store.SetFaults(standin.Faults{}) })
	e.expect(ExitSuccess, "leaves new callers", "router", "drain", e.address, "--reason", "once")
	if out, _ := e.run("router", "orders"); strings.Count(out, "once") != 1 {
		t.Errorf("the audit trail: %s", out)
	}
}

func TestRecordWhoseRepliesAreAllLost(t *testing.T) {
	e := newRouterEnv(t)
	e.store.SetFaults(standin.Faults{LoseReplies: true})
	e.expect(ExitFailure, "not known whether the record was kept", "router", "drain", e.address)
	if e.router.orders != 0 {
		t.Error("the order was sent to the router")
	}
}

func TestRouterThatDoesNotReplyToAnOrder(t *testing.T) {
	e := newRouterEnv(t)
	e.expect(ExitUnknown, "is not known", "router", "drain", "127.0.0.1:1")
}

func TestStoreMustBeNamed(t *testing.T) {
	var out bytes.Buffer
	app := New()
	app.Stdout, app.Stderr = &out, &out
	if status := app.Run([]string{"router", "orders"}); status != ExitUsage {
		t.Errorf("exit status %d: %s", status, &out)
	}
}

// Guards against a status that breaks off, where it may end early unnoticed, and is shown as
// that of a router with nothing to do.
func TestStatusThatIsBrokenOffIsNoStatus(t *testing.T) {
	for framing, header := range map[string]string{"close": "", "length": "Content-Length: 40\r\n", "chunks": "Transfer-Encoding: chunked\r\n"} {
		t.Run(framing, func(t *testing.T) {
			e := newRouterEnv(t)
			broken := e.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+header+"\r\n")
			}))
			if out, status := e.run("router", "list", "--router", broken); status == 0 || !strings.Contains(out, broken) {
				t.Errorf("exit %d, want a failure that shows the router:\n%s", status, out)
			}
		})
	}
}
