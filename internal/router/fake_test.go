package router

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

const (
	testModel   fleet.Service = "lm"
	testPlain   fleet.Service = "app"
	testAccount fleet.Account = "acme/lab"
	testKey                   = "secret-key"
	patience                  = 20 * time.Second // ends a test whose event never comes
)

// fakeView is a settings.View of one revision.
type fakeView struct {
	revision uint64
	accounts map[fleet.Account]settings.AccountPolicy
	services map[fleet.Service]settings.ServicePolicy
}

func newFakeView() *fakeView {
	service := settings.ServicePolicy{
		Kind:            settings.KindModel,
		Share:           settings.ShareFleet,
		Idempotent:      true,
		TokenCost:       1,
		DefaultDeadline: time.Minute,
		MaxRequestBytes: 1 << 16,
		MaxAnswerBytes:  1 << 20,
		OfferSubset:     2,
		WidenInterval:   100 * time.Millisecond,
		GrantLease:      time.Second,
		SilenceTimeout:  300 * time.Millisecond,
	}
	model, plain := service, service
	model.Service, plain.Service = testModel, testPlain
	plain.Kind, plain.Idempotent = settings.KindPlain, false
	return &fakeView{
		revision: 1,
		accounts: map[fleet.Account]settings.AccountPolicy{
			testAccount: {Account: testAccount, Weight: 1, QueueRequests: 100, QueueBytes: 1 << 20, RetryBudget: 0.1},
		},
		services: map[fleet.Service]settings.ServicePolicy{testModel: model, testPlain: plain},
	}
}

func (v *fakeView) Revision() uint64 { return v.revision }
func (v *fakeView) Account(account fleet.Account) (settings.AccountPolicy, bool) {
	policy, ok := v.accounts[account]
	return policy, ok
}
func (v *fakeView) AccountByKey(hash settings.KeyHash) (fleet.Account, bool) {
	return testAccount, hash == keyHash(testKey)
}
func (v *fakeView) Accounts() []fleet.Account { return nil }
func (v *fakeView) Service(service fleet.Service) (settings.ServicePolicy, bool) {
	policy, ok := v.services[service]
	return policy, ok
}
func (v *fakeView) Services() []fleet.Service { return nil }

// fakeFleet is a Fleet that does not change.
type fakeFleet struct {
	view      settings.View
	members   membership.View
	cancelled chan struct{} // gets a word for each cancel
}

func (f *fakeFleet) Settings() settings.View  { return f.view }
func (f *fakeFleet) Members() membership.View { return f.members }
func (f *fakeFleet) Verdicts() []*rpc.Verdict { return nil }
func (f *fakeFleet) Changed() <-chan struct{} { return nil }
func (f *fakeFleet) Envelope() *rpc.Envelope {
	return &rpc.Envelope{Sender: "127.0.0.1:1", Incarnation: 1}
}
func (f *fakeFleet) ReceiveEnvelope(*rpc.Envelope) {}
func (f *fakeFleet) CallFailed(fleet.Address)      {}
func (f *fakeFleet) SetLeaving(bool)               {}
func (f *fakeFleet) SetReady()                     {}
func (f *fakeFleet) SetNotReady(string)            {}
func (f *fakeFleet) Agent(fleet.Address) rpc.Agent { return fakeControl{fleet: f} }
func (f *fakeFleet) FreshAgent(fleet.Address) rpc.Agent {
	return fakeControl{fleet: f}
}

// fakeControl is an agent's control port that knows nothing.
type fakeControl struct {
	rpc.Agent
	fleet *fakeFleet
}

func (fakeControl) Offer(context.Context, *rpc.OfferRequest) (*rpc.OfferReply, error) {
	return &rpc.OfferReply{}, nil
}

func (c fakeControl) Cancel(context.Context, *rpc.CancelRequest) (*rpc.CancelReply, error) {
	if c.fleet.cancelled != nil {
		c.fleet.cancelled <- struct{}{}
	}
	return &rpc.CancelReply{}, nil
}

// frameWriter writes the frames of one answer.
type frameWriter struct {
	id   []byte
	w    *bufio.Writer
	sent uint64
	sum  xxhash.Digest
}

func (f *frameWriter) write(frame *rpc.AnswerFrame) {
	frame.RequestId = f.id
	_, _ = protodelim.MarshalTo(f.w, frame)
	_ = f.w.Flush()
}

func (f *frameWriter) accepted(free uint32) {
	f.write(&rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Accepted{Accepted: &rpc.Accepted{FreeSlots: free}}})
}

func (f *frameWriter) head(status uint32) {
	headers := []*rpc.Header{{Name: "Content-Type", Value: "text/event-stream"}}
	f.write(&rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Head{Head: &rpc.AnswerHead{Status: status, Headers: headers}}})
}

func (f *frameWriter) data(data string) {
	f.write(&rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Data{Data: &rpc.AnswerData{Offset: f.sent, Data: []byte(data)}}})
	f.sent += uint64(len(data))
	_, _ = f.sum.WriteString(data)
}

func (f *frameWriter) end() {
	f.write(&rpc.AnswerFrame{Frame: &rpc.AnswerFrame_End{End: &rpc.AnswerEnd{Length: f.sent, Checksum: f.sum.Sum64(), FreeSlots: 1}}})
}

// fakeAgent is an agent's data port whose answers the test writes.
type fakeAgent struct {
	node   fleet.Node
	run    func(request *rpc.RunRequest, frames *frameWriter)
	resume func(request *rpc.ResumeRequest, frames *frameWriter)

	mu   sync.Mutex
	seen []*rpc.RunRequest
}

func startAgent(t *testing.T, service fleet.Service) *fakeAgent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := fleet.Address(listener.Addr().String())
	agent := &fakeAgent{node: fleet.Node{
		VM: "vm", Role: fleet.RoleAgent, Control: "c" + address, Data: address, Service: service, State: fleet.VMLive,
	}}
	server := &fasthttp.Server{Handler: agent.serve, Logger: quiet{}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return agent
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

func (a *fakeAgent) serve(ctx *fasthttp.RequestCtx) {
	body := bytes.Clone(ctx.PostBody())
	path := string(ctx.Path())
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		frames := &frameWriter{w: w}
		frames.sum.Reset()
		if path == resumePath {
			request := &rpc.ResumeRequest{}
			_ = proto.Unmarshal(body, request)
			frames.id, frames.sent = request.RequestId, request.Offset
			a.resume(request, frames)
			return
		}
		request := &rpc.RunRequest{}
		_ = proto.Unmarshal(body, request)
		frames.id = request.RequestId
		a.mu.Lock()
		a.seen = append(a.seen, request)
		a.mu.Unlock()
		a.run(request, frames)
	})
}

// startRouter runs a router in front of the agents and returns its base URL.
func startRouter(t *testing.T, change func(*Options), agents ...*fakeAgent) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	known := &fakeFleet{view: newFakeView(), members: membership.View{Version: 1}}
	for _, agent := range agents {
		known.members.Nodes = append(known.members.Nodes, agent.node)
	}
	logger, _ := logtest.NewNullLogger()
	options := Options{
		Self:        fleet.Node{Control: "127.0.0.1:1", Data: fleet.Address(listener.Addr().String())},
		Incarnation: 1,
		Callers: CallersSection{
			BodyBytes: 1 << 17, Connections: 100, ReadTimeout: time.Second, WriteTimeout: time.Second, IdleTimeout: time.Second,
		},
		Fleet: known, Agents: known, Readiness: known,
		Registerer: prometheus.NewRegistry(), Logger: logger,
		Listener: callerListener{TCPListener: listener.(*net.TCPListener), writeTimeout: time.Second},
	}
	if change != nil {
		change(&options)
	}
	manager := NewManager(options)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- manager.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("router: %v", err)
		}
	})
	for manager.view() == nil {
		time.Sleep(time.Millisecond)
	}
	return "http://" + listener.Addr().String()
}
