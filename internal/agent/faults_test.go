package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bluebellchute/bluebellchute/internal/engine"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
	"github.com/bluebellchute/bluebellchute/internal/settings"
	"github.com/bluebellchute/bluebellchute/internal/testrelay"
)

// Symptom: a streamed answer stops in the middle and never ends, while the
// model engine is well.
// Sequence: something between agent and engine forgets the open connection.
// Cause: a connection that carries nothing looks like a slow run.
func TestSilentEngineConnectionIsReplaced(t *testing.T) {
	var between *testrelay.Relay
	a := startAgent(t, testPolicy(settings.KindModel), engine.Config{Step: time.Millisecond}, func(address string) string {
		between = testrelay.Start(t, testrelay.Config{Target: fleet.Address(address), BlackholeAfter: 2000})
		return string(between.Address())
	})
	id := newID()
	var got received
	got.read(t, id, a.post(t, PathRun, runRequest(id, "/v1/chat/completions", `{"stream":true,"x_tokens":100}`)), 0)
	<-between.LimitReached()
	a.wantWhole(t, id, &got)
}

// Symptom: every answer that is not streamed and takes longer than four seconds
// ends with an unknown outcome, however well the engine is; one that may be
// repeated is begun again at each agent in turn.
// Sequence: the engine sends nothing until the answer is whole; the agent takes
// connection after connection for silent.
// Cause: the HTTP library's error of a timeout was not known as one, so that the
// silence counted as a broken connection and the wait did not double.
func TestLongWholeAnswerArrives(t *testing.T) {
	t.Parallel()
	a := startAgent(t, testPolicy(settings.KindModel), engine.Config{Step: 10 * time.Millisecond}, nil)
	id := newID()
	const longerThanAllBroken = (maxBroken + 2) * minEngineSilence
	body := fmt.Sprintf(`{"x_tokens":%d}`, longerThanAllBroken/(10*time.Millisecond))
	var got received
	got.read(t, id, a.post(t, PathRun, runRequest(id, "/v1/chat/completions", body)), 0)
	a.wantWhole(t, id, &got)
}

// wantWhole checks that what was received is what the engine made, in one run.
func (a *testAgent) wantWhole(t *testing.T, id fleet.RequestID, got *received) {
	t.Helper()
	response, err := http.Get("http://" + a.engine.Address() + streamsPath + id.String() + "?offset=0")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	made, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if got.end == nil || !bytes.Equal(got.body, made) {
		t.Errorf("end %v, failed %v, %d bytes of %d", got.end, got.failed, len(got.body), len(made))
	}
	if runs := a.engine.Runs(id.String()); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// Symptom: a caller's answer has a gap or a repeat after its router changed
// the connection, or the run is started again.
// Sequence: the router reads a part, drops the connection and resumes by
// offset on a new one.
// Cause: the answer would be tied to the connection that it was asked on.
func TestAnswerIsResumedOnANewConnection(t *testing.T) {
	a := startAgent(t, testPolicy(settings.KindModel), engine.Config{Step: time.Millisecond}, nil)
	id := newID()
	var got received
	got.read(t, id, a.post(t, PathRun, runRequest(id, "/v1/completions", `{"stream":true,"x_tokens":200}`)), 1000)
	for got.end == nil && got.failed == nil {
		got.read(t, id, a.post(t, PathResume, &rpc.ResumeRequest{
			RequestId: id[:], Offset: uint64(len(got.body)), HeadReceived: true,
		}), len(got.body)+5000)
	}
	a.wantWhole(t, id, &got)
}

// Symptom: a caller gets a cut answer with a clean end, or the request is told
// to be not run.
// Sequence: the backend server goes down in the middle of an answer.
// Cause: the end of the connection is taken for the end of the answer.
func TestEngineCrashIsAFailure(t *testing.T) {
	a := startAgent(t, testPolicy(settings.KindModel), engine.Config{Step: time.Millisecond, PermitCrash: true, Downtime: time.Hour}, nil)
	id := newID()
	var got received
	got.read(t, id, a.post(t, PathRun, runRequest(id, "/v1/completions", `{"stream":true,"x_tokens":100000}`)), 1000)
	_, _ = http.Post("http://"+a.engine.Address()+"/v1/completions", "application/json", strings.NewReader(`{"x_crash":true}`))
	got.read(t, id, a.post(t, PathResume, &rpc.ResumeRequest{RequestId: id[:], Offset: uint64(len(got.body)), HeadReceived: true}), 0)
	if got.failed.GetState() != rpc.RequestState_REQUEST_STATE_FAILED || !got.failed.GetCrashed() {
		t.Errorf("failed %v, end %v", got.failed, got.end)
	}
}

// sink takes the inputs of a part under test.
type sink struct {
	inputs chan Input
	done   chan struct{}
}

func (s *sink) Send(input Input) bool {
	s.inputs <- input
	return true
}

func (s *sink) Done() <-chan struct{} { return s.done }

// Symptom: a non-idempotent call runs twice.
// Sequence: the connection breaks after the call was sent; the server lives, or
// is down.
// Cause: the HTTP client, or the agent, sends the call again.
func TestPlainCallIsSentOnce(t *testing.T) {
	for _, down := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		calls := make(chan int, 10)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				request := make([]byte, 1024)
				n, _ := conn.Read(request)
				if bytes.HasPrefix(request, []byte("GET "+healthPath)) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					continue
				}
				calls <- n
				if down {
					listener.Close()
				}
				conn.Close()
			}
		}()
		world := &sink{inputs: make(chan Input, 10)}
		policy := testPolicy(settings.KindPlain)
		runs := newRunner(newBackend(fleet.Address(listener.Addr().String())), world, func() settings.ServicePolicy { return policy })
		id := newID()
		runs.start(id, runRequest(id, "/laps", "{}"), newAnswer(), time.Now().Add(time.Minute))
		want := RunFailed
		if down {
			want = RunCrashed
		}
		if end := (<-world.inputs).(RunEnded); end.End != want {
			t.Errorf("down %v: end %+v, want %v", down, end, want)
		}
		sent := 0
		runs.stop()
		for len(calls) > 0 {
			if <-calls > 0 {
				sent++
			}
		}
		if sent != 1 {
			t.Errorf("down %v: the call was sent %d times", down, sent)
		}
	}
}

// Symptom: callers lose answers when an agent is replaced.
// Sequence: SIGTERM while a request runs.
// Cause: the process ends before the answer was fetched.
func TestDrainWaitsForAnswers(t *testing.T) {
	a := startAgent(t, testPolicy(settings.KindModel), engine.Config{Step: time.Millisecond}, nil)
	id := newID()
	stream := a.post(t, PathRun, runRequest(id, "/v1/completions", `{"stream":true,"x_tokens":300}`))
	drained := make(chan error, 1)
	go func() { drained <- a.manager.Drain(context.Background()) }()
	var got received
	got.read(t, id, stream, 0)
	select {
	case <-drained:
		t.Fatal("the agent ended with an answer that nobody acknowledged")
	default:
	}
	if _, err := a.manager.Control().Offer(context.Background(), &rpc.OfferRequest{
		Envelope: &rpc.Envelope{Sender: "127.0.0.1:2", Incarnation: 1}, Sequence: 1, Acknowledged: [][]byte{id[:]},
	}); err != nil {
		t.Fatal(err)
	}
	if err := <-drained; err != nil || got.end == nil {
		t.Errorf("drain: %v, end %v", err, got.end)
	}
	next := newID()
	var refused received
	refused.read(t, next, a.post(t, PathRun, runRequest(next, "/v1/completions", `{}`)), 0)
	if refused.refused.GetReason() != rpc.RefusalReason_REFUSAL_REASON_LEAVING {
		t.Errorf("after the drain: %v", refused.refused)
	}
}

// Symptom: whoever reaches an agent's data port runs requests in the name of
// any client account.
// Sequence: a run request without the fleet's token, or with another.
// Cause: the data path would trust the network.
func TestDataPathNeedsTheToken(t *testing.T) {
	server := newDataServer(&sink{}, newCalls(), newAnswers(), newCarriers(nil), nil, "secret", 1<<20)
	for _, value := range []string{"", "Bearer ", "Bearer other", "secret"} {
		var ctx fasthttp.RequestCtx
		ctx.Request.SetRequestURI(PathRun)
		ctx.Request.Header.Set("Authorization", value)
		server.handle(&ctx)
		if ctx.Response.StatusCode() != http.StatusUnauthorized {
			t.Errorf("%q: status %d", value, ctx.Response.StatusCode())
		}
	}
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI("/none")
	ctx.Request.Header.Set("Authorization", "Bearer secret")
	server.handle(&ctx)
	if ctx.Response.StatusCode() != http.StatusNotFound {
		t.Errorf("with the token: status %d", ctx.Response.StatusCode())
	}
}

// Symptom: a slot stands idle while requests wait.
// Sequence: a model has answered short requests; then long ones come. The agent
// grants slots ahead as if these were short too, and their requests wait here
// behind long runs while another agent is free.
// Cause: the length of runs that have ended says nothing of the next one.
func TestModelGetsNoGrantsAhead(t *testing.T) {
	policy := testPolicy(settings.KindModel)
	h := newHarness(policy)
	h.advance(2*MaxClockSkew + time.Millisecond)
	h.world.runTime.add(time.Millisecond)
	h.world.turnaround.add(time.Millisecond)
	h.step(h.offer(routerA, 1, 100))
	if got := len(h.grants(routerA)); got != policy.Slots {
		t.Errorf("%d grants for %d slots", got, policy.Slots)
	}
}
