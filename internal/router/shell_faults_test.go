package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

const (
	firstPart = "data: first\n\n"
	lastPart  = "data: last\n\n"
)

// beats keeps an answer alive for longer than a call may wait in its handler.
func beats(frames *frameWriter) {
	for end := time.Now().Add(parkAfter + 200*time.Millisecond); time.Now().Before(end); {
		frames.write(&rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Heartbeat{Heartbeat: &rpc.Heartbeat{}}})
		time.Sleep(50 * time.Millisecond)
	}
}

// TestParkedCalls checks that a call that waits for long gets its whole answer
// over its own connection, which ends with it.
func TestParkedCalls(t *testing.T) {
	agent := startAgent(t, testModel)
	agent.run = func(_ *rpc.RunRequest, frames *frameWriter) {
		frames.accepted(1)
		beats(frames)
		frames.head(200)
		frames.data(firstPart)
		frames.end()
	}
	base := startRouter(t, nil, agent)
	for name, test := range map[string]struct{ call, want string }{
		"whole":  {wholeCall, firstPart},
		"stream": {streamCall, firstPart + ": bluebell-outcome completed\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := ask(t, "POST", base+"/v1/completions", test.call)
			if got.err != nil || got.status != 200 || got.body != test.want {
				t.Errorf("got %+v", got)
			}
			if got.header.Get(headerRequest) == "" || got.header.Get(headerOutcome) == "" {
				t.Errorf("headers %v", got.header)
			}
		})
	}
}

// Symptom: an answer never ends, or the caller's program waits for minutes.
// Sequence: the agent sends the first part; then something on the way loses
// track of the connection, and nothing arrives on it any more.
// Cause: TCP does not notice a peer that it has nothing to send to.
func TestSilentConnectionIsResumed(t *testing.T) {
	for name, call := range map[string]string{"whole": wholeCall, "stream": streamCall} {
		t.Run(name, func(t *testing.T) {
			agent := startAgent(t, testModel)
			silent := make(chan struct{})
			defer close(silent)
			agent.run = func(_ *rpc.RunRequest, frames *frameWriter) {
				frames.accepted(1)
				frames.head(200)
				frames.data(firstPart)
				<-silent
			}
			agent.resume = func(request *rpc.ResumeRequest, frames *frameWriter) {
				if request.Offset != uint64(len(firstPart)) || !request.HeadReceived {
					t.Errorf("resumed from %v", request)
				}
				_, _ = frames.sum.WriteString(firstPart)
				frames.data(lastPart)
				frames.end()
			}
			got := ask(t, "POST", startRouter(t, nil, agent)+"/v1/completions", call)
			if got.err != nil || !strings.HasPrefix(got.body, firstPart+lastPart) {
				t.Errorf("got %+v", got)
			}
		})
	}
}

// Symptom: a caller takes a part of an answer for the whole.
// Sequence: a streamed answer has begun; then its backend server fails.
// Cause: a stream's outcome is known only at its end, after the status.
func TestBrokenStreamEndsVisibly(t *testing.T) {
	agent := startAgent(t, testModel)
	agent.run = func(_ *rpc.RunRequest, frames *frameWriter) {
		frames.accepted(1)
		frames.head(200)
		frames.data(firstPart)
		failed := &rpc.Failed{State: rpc.RequestState_REQUEST_STATE_FAILED}
		frames.write(&rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Failed{Failed: failed}})
	}
	got := ask(t, "POST", startRouter(t, nil, agent)+"/v1/completions", streamCall)
	if got.err == nil {
		t.Error("the stream ended cleanly")
	}
	for _, part := range []string{firstPart, "event: error\n", `"code":"answer_lost"`, ": bluebell-outcome unknown\n"} {
		if !strings.Contains(got.body, part) {
			t.Errorf("%q is missing in %q", part, got.body)
		}
	}
	if got.outcome != string(fleet.OutcomeUnknown) {
		t.Errorf("outcome %s", got.outcome)
	}
}

// Symptom: a caller gets an answer that was damaged, or made for another.
// Sequence: frames arrive twice, at the wrong place, or with another id.
// Cause: connections mixed up between the two ends.
func TestReceiverTakesOnlyItsAnswer(t *testing.T) {
	own, other := newRequestID(), newRequestID()
	head := func(id fleet.RequestID) *rpc.AnswerFrame {
		return &rpc.AnswerFrame{RequestId: id[:], Frame: &rpc.AnswerFrame_Head{Head: &rpc.AnswerHead{Status: 200}}}
	}
	data := func(offset uint64, text string) *rpc.AnswerFrame {
		return &rpc.AnswerFrame{RequestId: own[:], Frame: &rpc.AnswerFrame_Data{Data: &rpc.AnswerData{Offset: offset, Data: []byte(text)}}}
	}
	end := &rpc.AnswerFrame{RequestId: own[:], Frame: &rpc.AnswerFrame_End{End: &rpc.AnswerEnd{Length: 2, Checksum: 1}}}
	for name, test := range map[string]struct {
		frames []*rpc.AnswerFrame
		want   error
	}{
		"other id":   {[]*rpc.AnswerFrame{head(other)}, ErrCrossed},
		"doubled":    {[]*rpc.AnswerFrame{head(own), data(0, "ab"), data(0, "ab")}, ErrGap},
		"gap":        {[]*rpc.AnswerFrame{head(own), data(0, "ab"), data(3, "c")}, ErrGap},
		"no head":    {[]*rpc.AnswerFrame{data(0, "ab")}, ErrOrder},
		"two heads":  {[]*rpc.AnswerFrame{head(own), head(own)}, ErrOrder},
		"damaged":    {[]*rpc.AnswerFrame{head(own), data(0, "ab"), end}, ErrChecksum},
		"too large":  {[]*rpc.AnswerFrame{head(own), data(0, "abcde")}, ErrTooLarge},
		"empty kind": {[]*rpc.AnswerFrame{{RequestId: own[:]}}, ErrOrder},
	} {
		receiver := NewReceiver(own, nil, 4)
		var err error
		for _, frame := range test.frames {
			if _, err = receiver.Take(frame); err != nil {
				break
			}
		}
		if err != test.want {
			t.Errorf("%s: %v, want %v", name, err, test.want)
		}
	}
}

// Symptom: the caller's program hangs, or the router's memory fills up.
// Sequence: a caller sends a call slowly, cuts it short, or sends no HTTP.
// Cause: a call counts only once it is whole.
func TestBadCallersAreAnswered(t *testing.T) {
	base := startRouter(t, nil)
	for name, test := range map[string]struct {
		text string
		want int
	}{
		"slow body": {"POST /svc/app/ HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc", http.StatusRequestTimeout},
		"stranger":  {"POST /svc/app/ HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n", http.StatusUnauthorized},
		"no HTTP":   {"hello\r\n\r\n", http.StatusBadRequest},
		"long line": {"GET /" + strings.Repeat("x", 1<<15) + " HTTP/1.1\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, test.text); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if response.StatusCode != test.want || response.Header.Get(headerOutcome) != string(fleet.OutcomeNotRun) {
				t.Errorf("got %d %v", response.StatusCode, response.Header)
			}
		})
	}
}

// Symptom: backend servers work for callers that have gone.
// Sequence: a caller closes its connection while its request waits or runs.
// Cause: nobody looks at a connection on which nothing is due.
func TestGoneCallerIsCancelled(t *testing.T) {
	agent := startAgent(t, testModel)
	ended := make(chan struct{})
	defer close(ended)
	ctx, cancel := context.WithCancel(context.Background())
	agent.run = func(_ *rpc.RunRequest, frames *frameWriter) {
		frames.accepted(1)
		cancel()
		for {
			select {
			case <-ended:
				return
			default:
				frames.write(&rpc.AnswerFrame{Frame: &rpc.AnswerFrame_Heartbeat{Heartbeat: &rpc.Heartbeat{}}})
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	cancelled := make(chan struct{}, 1)
	base := startRouter(t, func(options *Options) { options.Agents.(*fakeFleet).cancelled = cancelled }, agent)
	request, err := http.NewRequestWithContext(ctx, "POST", base+"/v1/completions", strings.NewReader(wholeCall))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	if _, err := http.DefaultClient.Do(request); err == nil {
		t.Fatal("an answer came")
	}
	select {
	case <-cancelled:
	case <-time.After(patience):
		t.Error("the run was not cancelled")
	}
}
