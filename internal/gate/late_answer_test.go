package gate

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against dropping a ready answer because the time to write it, counted from the request,
// has passed: a process that is stalled gets the answer late, and its caller waits for it.
func TestLateAnswerIsDelivered(t *testing.T) {
	const deadline = 20 * time.Millisecond
	a := runAcceptor(t, 10, idleCPU{}, func(w http.ResponseWriter, _ *http.Request) {
		control := http.NewResponseController(w)
		if err := control.SetWriteDeadline(time.Now().Add(deadline)); err != nil {
			t.Error(err)
		}
		for range 2 {
			time.Sleep(2 * deadline)
			_, _ = io.WriteString(w, "late ") // a failure is detected below
			_ = control.Flush()
		}
	})
	conn, err := net.Dial("tcp", a.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	response, err := request(conn, "/x")
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "late late " {
		t.Errorf("body %q, %v", body, err)
	}
}

// Guards against writes without an end to a caller that does not read.
func TestCallerThatDoesNotReadIsGivenUp(t *testing.T) {
	failed := make(chan error, 1)
	a := runAcceptor(t, 10, idleCPU{}, func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now())
		for {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				failed <- err
				return
			}
		}
	})
	dial(t, a.address)
	select {
	case <-failed:
	case <-time.After(5 * lateWriteTime):
		t.Error("the router still writes")
	}
}
