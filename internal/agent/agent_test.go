package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/engine"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// fakeFleet is a fleet without other nodes.
type fakeFleet struct {
	view settings.View
}

func (f fakeFleet) Settings() settings.View       { return f.view }
func (fakeFleet) Members() membership.View        { return membership.View{} }
func (fakeFleet) Verdicts() []*rpc.Verdict        { return nil }
func (fakeFleet) AddVerdict(*rpc.Verdict)         {}
func (fakeFleet) Changed() <-chan struct{}        { return make(chan struct{}) }
func (fakeFleet) Envelope() *rpc.Envelope         { return &rpc.Envelope{} }
func (fakeFleet) ReceiveEnvelope(*rpc.Envelope)   {}
func (fakeFleet) CallFailed(fleet.Address)        {}
func (fakeFleet) PlatformLeaving() bool           { return false }
func (fakeFleet) SetLeaving(bool)                 {}
func (fakeFleet) Agent(fleet.Address) rpc.Agent   { return nil }
func (fakeFleet) Router(fleet.Address) rpc.Router { return nil }

// fakeView is a settings tree with one service for all accounts.
type fakeView struct {
	settings.View
	policy settings.ServicePolicy
}

func (v fakeView) Revision() uint64 { return 1 }

// Accounts knows none, so that messages name accounts in full.
func (v fakeView) Accounts() []fleet.Account { return nil }

func (v fakeView) Service(fleet.Service) (settings.ServicePolicy, bool) { return v.policy, true }

func (v fakeView) Account(name fleet.Account) (settings.AccountPolicy, bool) {
	return settings.AccountPolicy{Account: name, Weight: 1}, true
}

func testPolicy(kind settings.ServiceKind) settings.ServicePolicy {
	return settings.ServicePolicy{
		Service:           testService,
		Kind:              kind,
		Share:             settings.ShareFleet,
		Slots:             2,
		PromptCost:        0.1,
		TokenCost:         1,
		MillisecondCost:   1,
		AnswerRetention:   time.Minute,
		ReportInterval:    time.Second,
		Homes:             1,
		GrantLease:        time.Second,
		HeartbeatInterval: 50 * time.Millisecond,
	}
}

const testService fleet.Service = "llm"

// readySignal is closed when the agent becomes ready.
type readySignal struct {
	once  sync.Once
	ready chan struct{}
}

func (r *readySignal) SetReady()          { r.once.Do(func() { close(r.ready) }) }
func (r *readySignal) SetNotReady(string) {}

// testAgent is a whole agent with a backend server on loopback.
type testAgent struct {
	manager *Manager
	engine  *engine.Engine
	data    string
}

// startAgent starts both and waits until the agent is ready. between, when
// given, turns the engine's address into the one that the agent calls.
func startAgent(t *testing.T, policy settings.ServicePolicy, config engine.Config, between func(string) string) *testAgent {
	t.Helper()
	config.Plain = policy.Kind == settings.KindPlain
	backend, err := engine.Listen(config, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := backend.Address()
	if between != nil {
		address = between(address)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	agentConfig := &Config{}
	agentConfig.Node.Data = fleet.Address(listener.Addr().String())
	agentConfig.Node.Control = "127.0.0.1:1"
	agentConfig.Backend = BackendSection{Service: testService, Address: fleet.Address(address)}
	agentConfig.Limits = LimitsSection{
		RequestBytes: 1 << 20, HeldBytes: 1 << 20, HeldAnswers: 100,
		EndedIDs: 1000, EndedLife: time.Hour, Keys: 100, Ahead: 2,
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ready := &readySignal{ready: make(chan struct{})}
	known := fakeFleet{view: fakeView{policy: policy}}
	manager := NewManager(Options{
		Config: agentConfig, Incarnation: 1, Fleet: known, Clients: known,
		Readiness: ready, Registerer: prometheus.NewRegistry(), Logger: logger, Listener: listener,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = backend.Run(ctx) })
	group.Go(func() {
		if err := manager.Run(ctx); err != nil {
			t.Errorf("agent: %v", err)
		}
	})
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	<-ready.ready
	return &testAgent{manager: manager, engine: backend, data: string(agentConfig.Node.Data)}
}

// newID is a request id made later than the agent's start by more than the
// clock skew that the agent allows for.
func newID() uuid.UUID {
	id := uuid.Must(uuid.NewV7())
	made := time.Now().Add(2 * MaxClockSkew).UnixMilli()
	for i := range 6 {
		id[i] = byte(made >> (8 * (5 - i)))
	}
	return id
}

func (a *testAgent) post(t *testing.T, path string, message proto.Message) io.ReadCloser {
	t.Helper()
	body, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+a.data+path, "application/protobuf", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		t.Fatalf("%s: %d %s", path, response.StatusCode, text)
	}
	return response.Body
}

func runRequest(id uuid.UUID, path, body string) *rpc.RunRequest {
	return &rpc.RunRequest{
		RequestId:  id[:],
		Account:    "a",
		Service:    string(testService),
		DeadlineMs: time.Now().Add(time.Minute).UnixMilli(),
		Method:     http.MethodPost,
		Path:       path,
		Body:       []byte(body),
		Router:     "127.0.0.1:2",
	}
}

// received is what a router has of an answer.
type received struct {
	accepted bool
	head     *rpc.AnswerHead
	body     []byte
	end      *rpc.AnswerEnd
	failed   *rpc.Failed
	refused  *rpc.Refused
}

// read takes frames until the last one, or until the body has at least stop
// bytes, and checks ids and offsets.
func (r *received) read(t *testing.T, id uuid.UUID, stream io.ReadCloser, stop int) {
	t.Helper()
	defer stream.Close()
	reader := bufio.NewReader(stream)
	for r.end == nil && r.failed == nil && r.refused == nil && (stop == 0 || len(r.body) < stop) {
		frame := &rpc.AnswerFrame{}
		if err := protodelim.UnmarshalFrom(reader, frame); err != nil {
			t.Fatalf("frame after %d bytes: %v", len(r.body), err)
		}
		if !bytes.Equal(frame.RequestId, id[:]) {
			t.Fatalf("frame of request %x", frame.RequestId)
		}
		switch f := frame.Frame.(type) {
		case *rpc.AnswerFrame_Accepted:
			r.accepted = true
		case *rpc.AnswerFrame_Head:
			r.head = f.Head
		case *rpc.AnswerFrame_Data:
			if f.Data.Offset != uint64(len(r.body)) {
				t.Fatalf("data at %d after %d bytes", f.Data.Offset, len(r.body))
			}
			r.body = append(r.body, f.Data.Data...)
		case *rpc.AnswerFrame_End:
			r.end = f.End
		case *rpc.AnswerFrame_Failed:
			r.failed = f.Failed
		case *rpc.AnswerFrame_Refused:
			r.refused = f.Refused
		}
	}
}

func TestRunStreamsTheWholeAnswer(t *testing.T) {
	a := startAgent(t, testPolicy(settings.KindModel), engine.Config{Step: time.Millisecond}, nil)
	id := newID()
	var got received
	got.read(t, id, a.post(t, PathRun, runRequest(id, "/v1/chat/completions", `{"model":"llm","stream":true,"x_tokens":50}`)), 0)
	if !got.accepted || got.head.GetStatus() != http.StatusOK || got.end == nil {
		t.Fatalf("accepted %v, head %v, end %v, failed %v, refused %v", got.accepted, got.head, got.end, got.failed, got.refused)
	}
	if !strings.HasSuffix(string(got.body), "data: [DONE]\n\n") || got.end.Length != uint64(len(got.body)) {
		t.Fatalf("%d bytes, end says %d: %.80s", len(got.body), got.end.Length, got.body)
	}
	if got.end.Cost != 50 || got.end.FreeSlots != 2 {
		t.Errorf("end %v, want cost 50 and both slots free", got.end)
	}
	if runs := a.engine.Runs(id.String()); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

func TestPlainCallIsPassedThrough(t *testing.T) {
	a := startAgent(t, testPolicy(settings.KindPlain), engine.Config{Work: time.Millisecond}, nil)
	id := newID()
	var got received
	got.read(t, id, a.post(t, PathRun, runRequest(id, "/laps?track=3", `{}`)), 0)
	if got.end == nil || got.head.GetStatus() != http.StatusOK || !json.Valid(got.body) {
		t.Fatalf("head %v, body %s, failed %v, refused %v", got.head, got.body, got.failed, got.refused)
	}
	// The same dispatch again must not run.
	var again received
	again.read(t, id, a.post(t, PathRun, runRequest(id, "/laps?track=3", `{}`)), 0)
	if again.refused.GetReason() != rpc.RefusalReason_REFUSAL_REASON_DUPLICATE || a.engine.Runs(id.String()) != 1 {
		t.Errorf("second dispatch: %v, %d runs", again.refused, a.engine.Runs(id.String()))
	}
}
