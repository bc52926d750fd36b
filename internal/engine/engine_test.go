package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// start runs an engine until the test ends.
func start(t *testing.T, config Config) *Engine {
	t.Helper()
	e, err := Listen(config, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return e
}

func call(t *testing.T, e *Engine, method, path, id, body string) (*http.Response, string, error) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+e.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(headerRequestID, id)
	response, err := http.DefaultTransport.(*http.Transport).RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response, string(answer), err
}

// content joins the words of a streamed answer.
func content(answer string) string {
	var text strings.Builder
	lines := bufio.NewScanner(strings.NewReader(answer))
	for lines.Scan() {
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		data, _ := strings.CutPrefix(lines.Text(), "data: ")
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

func TestStreamIsCompleteAndResumesAtAnyByte(t *testing.T) {
	e := start(t, Config{Step: time.Millisecond})
	_, answer, err := call(t, e, "POST", pathChat, "r1", `{"model":"m","stream":true,"x_tokens":20,"prompt":"a"}`)
	if err != nil {
		t.Fatal(err)
	}
	if err := CheckText("r1", content(answer), 20); err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(answer, "data: [DONE]\n\n") || !strings.Contains(answer, `"completion_tokens":20`) {
		t.Fatalf("usage or final event is missing: %s", answer)
	}
	rapid.Check(t, func(rt *rapid.T) {
		offset := rapid.IntRange(0, len(answer)).Draw(rt, "offset")
		_, rest, err := call(t, e, "GET", fmt.Sprintf("%sr1?offset=%d", pathStreams, offset), "", "")
		if err != nil || rest != answer[offset:] {
			rt.Fatalf("offset %d: %v, %d bytes, want %d", offset, err, len(rest), len(answer)-offset)
		}
	})
	if runs := e.Runs("r1"); runs != 1 {
		t.Fatalf("resumed streams count as %d runs", runs)
	}
}

func TestCompleteAnswerAndLedger(t *testing.T) {
	e := start(t, Config{Step: time.Millisecond})
	for range 2 {
		_, answer, err := call(t, e, "POST", pathCompletions, "r1", `{"x_tokens":5,"prompt":"abc"}`)
		if err != nil || !strings.Contains(answer, Text("r1", 5)) {
			t.Fatalf("%v: %s", err, answer)
		}
	}
	_, lines, _ := call(t, e, "GET", pathLedger, "", "")
	if got := strings.Count(lines, `"state":"complete"`); got != 2 || e.Runs("r1") != 2 {
		t.Fatalf("ledger has %d runs: %s", got, lines)
	}
}

// Guards against slots that stay in use after a caller disconnects. Cancelling the
// run by id must free the slot and end the answer with an error.
func TestCancelEndsTheRun(t *testing.T) {
	e := start(t, Config{Step: time.Millisecond})
	ended := make(chan error, 1)
	go func() {
		_, _, err := call(t, e, "POST", pathChat, "r1", `{"stream":true,"x_tokens":1000000,"prompt":"a"}`)
		ended <- err
	}()
	for e.find("r1") == nil {
		time.Sleep(time.Millisecond)
	}
	if response, _, _ := call(t, e, "DELETE", pathStreams+"r1", "", ""); response.StatusCode != http.StatusNoContent {
		t.Fatalf("status %d", response.StatusCode)
	}
	if err := <-ended; err == nil {
		t.Fatal("a cancelled answer ended without an error")
	}
	if run := e.Ledger(time.Time{})[0]; run.State != RunCancelled || run.EndedNS == 0 {
		t.Fatalf("ledger: %+v", run)
	}
}

// A request with x_crash must crash the engine with all its runs.
func TestCrashDropsEveryRun(t *testing.T) {
	e := start(t, Config{Step: time.Millisecond, PermitCrash: true, Downtime: time.Millisecond})
	other := make(chan error, 1)
	go func() {
		_, _, err := call(t, e, "POST", pathChat, "r1", `{"stream":true,"x_tokens":1000000,"prompt":"a"}`)
		other <- err
	}()
	for e.find("r1") == nil {
		time.Sleep(time.Millisecond)
	}
	if _, _, err := call(t, e, "POST", pathChat, "r2", `{"x_crash":true}`); err == nil {
		t.Fatal("the request that crashes the engine was answered")
	}
	if err := <-other; err == nil {
		t.Fatal("a run survived the crash")
	}
	for _, run := range e.Ledger(time.Time{}) {
		if run.State != RunCrashed {
			t.Fatalf("ledger: %+v", run)
		}
	}
}

func TestPlainCallsAreCounted(t *testing.T) {
	e := start(t, Config{Plain: true, Name: "timing-app", Work: time.Microsecond})
	for want := 1; want <= 2; want++ {
		_, answer, err := call(t, e, "PUT", "/crossings/7", "r1", "lap")
		var got PlainAnswer
		if err != nil || json.Unmarshal([]byte(answer), &got) != nil || got.Run != want || got.Fingerprint != Fingerprint([]byte("lap")) {
			t.Fatalf("%v: %s", err, answer)
		}
	}
}

func TestOverAdmissionSlowsTheStep(t *testing.T) {
	e := &Engine{config: Config{Slots: 4, Step: 3 * time.Millisecond}}
	for running, want := range map[int]time.Duration{1: 3, 4: 3, 8: 6, 12: 9} {
		e.running = make([]*stream, running)
		if got := e.stepTime(); got != want*time.Millisecond {
			t.Errorf("%d running: step of %v", running, got)
		}
	}
}

func TestPrefixCacheIsBounded(t *testing.T) {
	cache := newPrefixCache(4 * blockTokens)
	prompt := strings.Repeat("a", 3*blockTokens*bytesPerToken)
	if got := cache.lookupAndAdd(prompt); got != 0 {
		t.Fatalf("%d tokens of a new prompt cached", got)
	}
	if got := cache.lookupAndAdd(prompt + "tail"); got != 3*blockTokens {
		t.Fatalf("%d tokens cached of a known prefix", got)
	}
	cache.lookupAndAdd(strings.Repeat("b", 4*blockTokens*bytesPerToken))
	if got := cache.lookupAndAdd(prompt); got != 0 || cache.order.Len() != 4 {
		t.Fatalf("%d tokens still cached beyond the capacity, %d blocks", got, cache.order.Len())
	}
}
