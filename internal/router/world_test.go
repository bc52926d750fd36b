package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fairshare"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/membership"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// bench steps a world whose agents are played by the test.
type bench struct {
	t     *testing.T
	world *World
	now   time.Time
	view  *fakeView
}

func newBench(t *testing.T, agents int) *bench {
	b := &bench{t: t, now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), view: newFakeView()}
	b.world = NewWorld(fleet.Node{Control: "r:1", Zone: "a"}, Limits{}, rand.New(rand.NewPCG(1, 1)))
	members := membership.View{Version: 1}
	for i := range agents {
		name := string(rune('a' + i))
		members.Nodes = append(members.Nodes, fleet.Node{
			VM: name, Role: fleet.RoleAgent, Control: fleet.Address(name + ":1"), Data: fleet.Address(name + ":2"),
			Zone: "a", Service: testModel, State: fleet.VMLive,
		})
	}
	b.step(SettingsChanged{View: b.view}, MembersChanged{View: members})
	return b
}

func (b *bench) step(inputs ...Input) []Output {
	outputs, _ := b.world.Step(b.now, inputs)
	return outputs
}

func (b *bench) request(change func(*Request)) *Request {
	request := &Request{
		ID: newRequestID(), Account: testAccount, Service: testModel, Arrived: b.now,
		Deadline: b.now.Add(time.Minute), Idempotent: true, Payload: []byte("payload"),
	}
	request.Answer = NewReceiver(request.ID, nil, 0)
	if change != nil {
		change(request)
	}
	return request
}

// only returns the one output of a type among the outputs.
func only[O Output](b *bench, outputs []Output) O {
	b.t.Helper()
	var found []O
	for _, output := range outputs {
		if o, ok := output.(O); ok {
			found = append(found, o)
		}
	}
	if len(found) != 1 {
		b.t.Fatalf("%d outputs of the type, want 1: %+v", len(found), outputs)
	}
	return found[0]
}

// Symptom: three backend servers are lost to one request.
// Sequence: a request crashes a server; the caller repeats it, and it
// crashes a second one; the verdict has not reached the third one yet.
// Cause: verdicts spread with the control messages, a retry is faster.
func TestSuspectIsNotSentToAThirdServer(t *testing.T) {
	b := newBench(t, 3)
	crash := func(run SendRun) Result {
		b.step(RunAccepted{Attempt: run.Attempt, FreeSlots: 1})
		failed := AnswerFailed{Attempt: run.Attempt, State: rpc.RequestState_REQUEST_STATE_FAILED, Crashed: true}
		return only[Finish](b, b.step(failed)).Result
	}
	once := b.request(func(r *Request) { r.Idempotent = false })
	first := only[SendRun](b, b.step(Arrived{Request: once}))
	if got := crash(first); got.Status != statusBadGateway || got.Outcome != fleet.OutcomeUnknown {
		t.Errorf("the first try ended with %+v", got)
	}
	second := only[SendRun](b, b.step(Arrived{Request: b.request(nil)}))
	if first.Suspect || !second.Suspect {
		t.Errorf("sent as %+v, then as %+v", first, second)
	}
	if got := crash(second); got.Status != statusUnprocessable || got.Outcome != fleet.OutcomeUnknown {
		t.Errorf("the second try ended with %+v", got)
	}
	third := only[Finish](b, b.step(Arrived{Request: b.request(nil)})).Result
	if third.Status != statusUnprocessable || third.Outcome != fleet.OutcomeNotRun {
		t.Errorf("the third try ended with %+v", third)
	}
}

// Symptom: a small failure becomes a large one.
// Sequence: servers fail; each request is sent again, and again.
// Cause: retries without a budget multiply the load.
func TestRetriesHaveABudget(t *testing.T) {
	b := newBench(t, 40)
	exhausted := 0
	for i := range 30 {
		request := b.request(func(r *Request) { r.Fingerprint[0] = byte(i + 1) })
		run := only[SendRun](b, b.step(Arrived{Request: request}))
		outputs := b.step(AnswerFailed{Attempt: run.Attempt, State: rpc.RequestState_REQUEST_STATE_FAILED})
		for _, output := range outputs {
			if finish, ok := output.(Finish); ok && finish.Result.Code == CodeRetryBudget {
				exhausted++
			}
		}
	}
	// Ten retries at once, and one for each ten requests.
	if want := 30 - 12; exhausted < want {
		t.Errorf("%d requests were not retried, want at least %d", exhausted, want)
	}
}

// Symptom: one account's flood fills the router's memory.
// Sequence: an account sends far more than the fleet takes.
// Cause: a queue without a bound.
func TestBoundsRefuseAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*bench, *Request)
		want   Result
	}{
		"requests": {func(b *bench, _ *Request) { b.setPolicy(0, 3, 0) }, Result{Status: 429, Code: CodeQueueFull}},
		"bytes":    {func(b *bench, _ *Request) { b.setPolicy(0, 0, 20) }, Result{Status: 429, Code: CodeQueueFull}},
		"rate":     {func(b *bench, _ *Request) { b.setPolicy(2, 0, 0) }, Result{Status: 429, Code: CodeRateLimited}},
		"deadline": {func(b *bench, r *Request) { r.Deadline = b.now }, Result{Status: 503, Code: CodeDeadline}},
		"draining": {func(b *bench, _ *Request) { b.step(DrainBegan{}) }, Result{Status: 503, Code: CodeDraining}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 0)
			var last []Output
			for range 4 {
				last = b.step(Arrived{Request: b.request(func(r *Request) { test.change(b, r) })})
			}
			got := only[Finish](b, last).Result
			if got.Status != test.want.Status || got.Code != test.want.Code || got.Outcome != fleet.OutcomeNotRun || got.RetryAfter <= 0 {
				t.Errorf("got %+v", got)
			}
		})
	}
}

func (b *bench) setPolicy(rate float64, requests int, bytes int64) {
	policy := b.view.accounts[testAccount]
	policy.RateLimit, policy.QueueRequests, policy.QueueBytes = rate, requests, bytes
	b.view.accounts[testAccount] = policy
}

// Symptom: a slot stays idle for a lease while others wait for it.
// Sequence: a router takes a grant, is paused, and finds its use-by passed.
// Cause: the agent learns of an unused grant only when its lease ends.
func TestLapsedGrantIsGivenBack(t *testing.T) {
	b := newBench(t, 1)
	blocker := only[SendRun](b, b.step(Arrived{Request: b.request(nil)}))
	b.step(RunAccepted{Attempt: blocker.Attempt})
	b.step(Arrived{Request: b.request(nil)})
	grant := &rpc.Grant{Number: 7, Account: string(testAccount), LeaseMs: 500}
	run := only[SendRun](b, b.step(Granted{Agent: "a:1", Service: testModel, Grants: []*rpc.Grant{grant}, Received: b.now}))
	if run.Grant != 7 {
		t.Fatalf("sent on grant %d", run.Grant)
	}
	b.step(RunNotSent{Attempt: run.Attempt})
	b.now = b.now.Add(2 * offerCoalesce)
	offer := only[SendOffer](b, b.step())
	if len(offer.Message.Declined) != 1 || offer.Message.Declined[0] != 7 {
		t.Errorf("declined %v", offer.Message.Declined)
	}
	// Declining says that nothing waits, and something does.
	if offers := offer.Message.Offers; len(offers) != 1 || offers[0].Account != string(testAccount) || offers[0].Count != 1 {
		t.Errorf("offers %v, want the request that was not sent", offers)
	}
}

// Symptom: an answer goes to the wrong try, and its slot's count is wrong.
// Sequence: an attempt is given up; its events come late, or twice.
// Cause: events are queued between the network and the decisions.
func TestEventsOfOldAttemptsAreDropped(t *testing.T) {
	b := newBench(t, 2)
	first := only[SendRun](b, b.step(Arrived{Request: b.request(nil)}))
	refused := RunRefused{Attempt: first.Attempt, Reason: rpc.RefusalReason_REFUSAL_REASON_NO_SLOT}
	second := only[SendRun](b, b.step(refused))
	for _, late := range []Input{
		refused,
		AnswerFailed{Attempt: first.Attempt, State: rpc.RequestState_REQUEST_STATE_FENCED},
		AnswerBroken{Attempt: first.Attempt},
		AnswerEnded{Attempt: first.Attempt},
	} {
		for _, output := range b.step(late) {
			switch output.(type) {
			case SendRun, SendResume, SendFence, Finish:
				t.Errorf("%T led to %T", late, output)
			}
		}
	}
	b.step(RunAccepted{Attempt: second.Attempt, FreeSlots: 1})
	only[Finish](b, b.step(AnswerEnded{Attempt: second.Attempt}))
}

// Symptom: a paused router sends on a slot that the agent gave to another.
// Sequence: a grant arrives; the router's process is paused past its use-by.
// Cause: a lease does not stop for a paused process.
func TestOldGrantIsDeclined(t *testing.T) {
	b := newBench(t, 1)
	blocker := only[SendRun](b, b.step(Arrived{Request: b.request(nil)}))
	b.step(RunAccepted{Attempt: blocker.Attempt})
	b.step(Arrived{Request: b.request(nil)})
	grant := &rpc.Grant{Number: 7, Account: string(testAccount), LeaseMs: 500}
	old := Granted{Agent: "a:1", Service: testModel, Grants: []*rpc.Grant{grant}, Received: b.now.Add(-480 * time.Millisecond)}
	reply := only[ReplyGrant](b, b.step(old)).Message
	if len(reply.Declined) != 1 || len(reply.Offers) != 1 || reply.Offers[0].Count != 1 {
		t.Errorf("reply %+v", reply)
	}
	// The same of a grant that was carried: declining alone would say that
	// nothing waits, and the agent would not grant again.
	b.now = b.now.Add(2 * offerCoalesce)
	for _, output := range b.step() {
		if sent, ok := output.(SendOffer); ok {
			b.step(OfferReplied{Agent: sent.Agent, Sequence: sent.Message.Sequence})
		}
	}
	old.Carried = true
	b.step(old)
	b.now = b.now.Add(2 * offerCoalesce)
	message := only[SendOffer](b, b.step()).Message
	if len(message.Declined) != 1 || len(message.Offers) != 1 || message.Offers[0].Count != 1 {
		t.Errorf("offer %+v", message)
	}
}

// Symptom: a caller waits for an answer that cannot come.
// Sequence: no slot becomes free before the deadline, or no agent is there.
// Cause: only time tells, and no input brings it.
func TestWaitingEnds(t *testing.T) {
	for name, test := range map[string]struct {
		agents int
		after  time.Duration
		want   FailureCode
	}{
		"deadline":  {1, time.Minute + time.Millisecond, CodeDeadline},
		"no agents": {0, noAgentPatience + time.Millisecond, CodeNoBackend},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, test.agents)
			if test.agents > 0 {
				blocker := only[SendRun](b, b.step(Arrived{Request: b.request(func(r *Request) { r.Deadline = b.now.Add(time.Hour) })}))
				b.step(RunAccepted{Attempt: blocker.Attempt})
			}
			b.step(Arrived{Request: b.request(nil)})
			b.now = b.now.Add(test.after)
			got := only[Finish](b, b.step()).Result
			if got.Code != test.want || got.Outcome != fleet.OutcomeNotRun || got.Status != statusServiceUnavailable || got.RetryAfter <= 0 {
				t.Errorf("ended with %+v", got)
			}
		})
	}
}

// TestRouterPicksForEmptyAccount checks the policy router-local: on a grant
// without an account the router serves the one that got least through it.
func TestRouterPicksForEmptyAccount(t *testing.T) {
	b := newBench(t, 1)
	other := fleet.Account("acme/shop")
	served := only[SendRun](b, b.step(Arrived{Request: b.request(nil)}))
	b.step(RunAccepted{Attempt: served.Attempt})
	b.step(AnswerEnded{Attempt: served.Attempt, Cost: 1000})
	b.step(Arrived{Request: b.request(nil)}, Arrived{Request: b.request(func(r *Request) { r.Account = other })})
	grants := []*rpc.Grant{{Number: 1, LeaseMs: 500}, {Number: 2, LeaseMs: 500}, {Number: 3, LeaseMs: 500}}
	outputs := b.step(Granted{Agent: "a:1", Service: testModel, Grants: grants, Received: b.now})
	var order []fleet.Account
	for _, output := range outputs {
		if run, ok := output.(SendRun); ok {
			order = append(order, run.Request.Account)
		}
	}
	if len(order) != 2 || order[0] != other {
		t.Errorf("served %v", order)
	}
	if reply := only[ReplyGrant](b, outputs).Message; len(reply.Declined) != 1 || reply.Declined[0] != 3 {
		t.Errorf("declined %v", reply.Declined)
	}
}

// Symptom: a caller with a short deadline is told that the backend server did
// not finish, with 502, and its operators look for a fault of the server.
// Sequence: the deadline passes while the request runs; the agent ends the run
// and says so before the router looks at deadlines.
// Cause: the agent's word does not tell a run that took too long from one that
// failed.
func TestRunThatTakesTooLong(t *testing.T) {
	b := newBench(t, 2)
	request := b.request(nil)
	run := only[SendRun](b, b.step(Arrived{Request: request}))
	b.step(RunAccepted{Attempt: run.Attempt, FreeSlots: 1})
	b.now = request.Deadline
	failed := AnswerFailed{Attempt: run.Attempt, State: rpc.RequestState_REQUEST_STATE_FAILED}
	got := only[Finish](b, b.step(failed)).Result
	if want := unknown(statusGatewayTimeout, CodeDeadline, deadlineMessage); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Symptom: a slot stands idle for a lease while others wait for it.
// Sequence: grants come with a frame of an answer, one of them for an account
// of which nothing waits any more. Cause: there is no reply in which the router
// could decline.
func TestCarriedGrants(t *testing.T) {
	b := newBench(t, 1)
	blocker := only[SendRun](b, b.step(Arrived{Request: b.request(nil)}))
	b.step(RunAccepted{Attempt: blocker.Attempt})
	b.step(Arrived{Request: b.request(nil)})
	heartbeat := &rpc.AnswerFrame{Grants: []*rpc.Grant{
		{Number: 7, Account: string(testAccount), LeaseMs: 500},
		{Number: 8, Account: string(testAccount), LeaseMs: 500},
		{Number: 9, Account: "acme/gone", LeaseMs: 500},
	}}
	outputs := b.step(GrantsOf("a:1", testModel, heartbeat, b.now))
	if run := only[SendRun](b, outputs); run.Grant != 7 || run.UseBy.IsZero() || !run.UseBy.Before(b.now.Add(500*time.Millisecond)) {
		t.Errorf("sent %+v", run)
	}
	for _, output := range outputs {
		if _, ok := output.(ReplyGrant); ok {
			t.Error("replied to no call")
		}
	}
	b.now = b.now.Add(2 * offerCoalesce)
	message := only[SendOffer](b, b.step()).Message
	if len(message.Declined) != 2 || message.Declined[0] != 8 || message.Declined[1] != 9 {
		t.Errorf("declined %v", message.Declined)
	}
	if len(message.Offers) != 0 {
		t.Errorf("offers %v, want none: the declined grants say that nothing waits", message.Offers)
	}
	if _, told := b.world.agents.Get("a:1").offer.sent[testAccount]; told {
		t.Error("the agent is taken to know of the account that it drops")
	}
	if GrantsOf("", testModel, heartbeat, b.now) != nil || GrantsOf("a:1", testModel, &rpc.AnswerFrame{}, b.now) != nil {
		t.Error("an input without grants or without an agent")
	}
}

// TestGrantNamesAccountByHash checks that a grant reaches the account that it
// names by a hash, also where another account of which nothing waits has the
// same hash, and that a declined one is answered for the right account.
func TestGrantNamesAccountByHash(t *testing.T) {
	b := newBench(t, 1)
	blocker := only[SendRun](b, b.step(Arrived{Request: b.request(nil)}))
	b.step(RunAccepted{Attempt: blocker.Attempt})
	b.step(Arrived{Request: b.request(nil)}, Arrived{Request: b.request(func(r *Request) { r.Account = "acme/shop" })})
	service, hash := b.world.service(testModel), fairshare.AccountHash("acme/shop")
	service.hashes[hash] = append([]*accountQueue{{service: service, account: "acme/twin"}}, service.hashes[hash]...)
	grants := []*rpc.Grant{{Number: 7, AccountHash: hash, LeaseMs: 500}}
	outputs := b.step(Granted{Agent: "a:1", Service: testModel, Grants: grants, Received: b.now})
	if run := only[SendRun](b, outputs); run.Request.Account != "acme/shop" || run.Grant != 7 {
		t.Errorf("sent %+v on grant %d", run.Request, run.Grant)
	}
	service.hashes[hash] = service.hashes[hash][1:]
	grants = append(grants, &rpc.Grant{Number: 8, AccountHash: hash + 1, LeaseMs: 500})
	reply := only[ReplyGrant](b, b.step(Granted{Agent: "a:1", Service: testModel, Grants: grants, Received: b.now})).Message
	if len(reply.Declined) != 2 || len(reply.Offers) != 1 || reply.Offers[0].Account != "acme/shop" {
		t.Errorf("reply %+v", reply)
	}
}
