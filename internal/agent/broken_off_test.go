package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// rawBackend is a backend server that answers each call but health checks with given bytes
// and closes the connection.
func rawBackend(t *testing.T, answer func(request *http.Request) string) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // on failure the call fails too
		response := framedAnswer("length", "text/plain", "", 0)
		if request.URL.Path != healthPath {
			response = answer(request)
		}
		_, _ = io.WriteString(conn, response)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return newBackend(fleet.Address(listener.Addr().String()))
}

// framedAnswer returns the bytes of an answer that ends as its framing says, or early if
// bytes are missing.
func framedAnswer(framing, contentType, body string, missing int) string {
	head := "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n"
	switch framing {
	case "length":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body)+missing, body)
	case "chunks":
		chunks := ""
		if body != "" {
			chunks = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		if missing == 0 {
			chunks += "0\r\n\r\n"
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks
	}
	return head + "\r\n" + body
}

// runAt runs a request at the backend server and returns its end and what the agent holds.
func runAt(t *testing.T, at *backend, kind settings.ServiceKind) (RunEnded, string) {
	t.Helper()
	return runBodyAt(t, at, kind, "{}")
}

// runBodyAt does the same with a request that has the body.
func runBodyAt(t *testing.T, at *backend, kind settings.ServiceKind, body string) (RunEnded, string) {
	t.Helper()
	world := &sink{inputs: make(chan Input, 100)}
	policy := testPolicy(kind)
	runs := newRunner(at, world, func() settings.ServicePolicy { return policy })
	into, id := newAnswer(), newID()
	runs.start(id, runRequest(id, "/v1/completions", body), into, time.Now().Add(10*time.Second))
	defer runs.stop()
	for {
		if end, ok := (<-world.inputs).(RunEnded); ok {
			return end, string(into.from(0).data)
		}
	}
}

const twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// Guards against a stream that its backend server broke off and that is held as complete:
// where its framing allows an end, it may still end inside an event.
func TestStreamThatEndsInsideAnEventFails(t *testing.T) {
	const first = len("id: 1\ndata: a\n\n")
	for _, framing := range []string{"close", "chunks", "length"} {
		for length := range len(twoEvents) {
			if length == 0 && framing != "close" || length == first {
				continue // as a whole stream ends
			}
			at := rawBackend(t, func(*http.Request) string { return framedAnswer(framing, "text/event-stream", twoEvents[:length], 0) })
			if end, _ := runAt(t, at, settings.KindPlain); end.End != RunFailed {
				t.Errorf("%s, %q: end %v, want a failure", framing, twoEvents[:length], end.End)
			}
		}
	}
}

// Guards against the same failure at a model engine, which can go on.
func TestStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	for _, framing := range []string{"close", "chunks", "length"} {
		at := rawBackend(t, func(request *http.Request) string {
			if !strings.HasPrefix(request.URL.Path, streamsPath) {
				return framedAnswer(framing, "text/event-stream; charset=utf-8", twoEvents[:20], 0)
			}
			offset, err := strconv.Atoi(request.URL.Query().Get("offset"))
			if err != nil {
				t.Error(err)
			}
			return framedAnswer(framing, "text/event-stream; charset=utf-8", twoEvents[offset:], 0)
		})
		if end, body := runAt(t, at, settings.KindModel); end.End != RunComplete || body != twoEvents {
			t.Errorf("%s: end %+v, %q", framing, end, body)
		}
	}
}

// Guards against a resumed stream that ends inside an event and is held as complete, because the part
// from where it was resumed does not state what it is.
func TestResumedPartWithoutATypeIsStillAStream(t *testing.T) {
	for _, head := range []string{"Content-Length: %d\r\n", "Content-Length: %d\r\nContent-Type: text/plain\r\n"} {
		for length := range len(twoEvents) {
			for _, end := range []int{length, len(twoEvents)} {
				at := rawBackend(t, func(request *http.Request) string {
					if !strings.HasPrefix(request.URL.Path, streamsPath) {
						return framedAnswer("length", "text/event-stream", twoEvents[:length], 1)
					}
					offset, err := strconv.Atoi(request.URL.Query().Get("offset"))
					if err != nil {
						t.Error(err)
					}
					part := twoEvents[offset:end]
					return fmt.Sprintf("HTTP/1.1 200 OK\r\n"+head+"\r\n%s", len(part), part)
				})
				held, body := runAt(t, at, settings.KindModel)
				whole := strings.HasSuffix("\n\n"+body, "\n\n") // a stream may end after any event
				if whole != (held.End == RunComplete) {
					t.Errorf("%q, then up to %q: end %+v, %q", twoEvents[:length], twoEvents[:end], held, body)
				}
			}
		}
	}
}

// Guards against an answer with a length or chunks that ends early and is held as complete.
func TestAnswerThatIsBrokenOffFails(t *testing.T) {
	for _, framing := range []string{"chunks", "length"} {
		for _, contentType := range []string{"text/event-stream", "application/json"} {
			for _, body := range []string{"", "id: 1\ndata: a\n\n", twoEvents} {
				at := rawBackend(t, func(*http.Request) string { return framedAnswer(framing, contentType, body, 1) })
				if end, _ := runAt(t, at, settings.KindPlain); end.End != RunFailed {
					t.Errorf("%s of %s, %q: end %v, want a failure", contentType, framing, body, end.End)
				}
			}
		}
	}
}

// Guards against whole answers that are taken for broken ones.
func TestWholeAnswersAreHeld(t *testing.T) {
	for _, framing := range []string{"close", "chunks", "length"} {
		for _, answer := range []struct{ contentType, body string }{
			{"text/event-stream", twoEvents},
			{"text/event-stream", strings.ReplaceAll(twoEvents, "\n", "\r\n")},
			{"text/event-stream", strings.ReplaceAll(twoEvents, "\n", "\r")},
			{"text/event-stream", twoEvents + ": the end\n"},
			{"text/event-stream", twoEvents + "\n"},
			{"text/plain", ""},
			{"text/plain", "one line"},
			{"application/json", "{}"},
		} {
			for _, kind := range []settings.ServiceKind{settings.KindPlain, settings.KindModel} {
				at := rawBackend(t, func(*http.Request) string { return framedAnswer(framing, answer.contentType, answer.body, 0) })
				if end, body := runAt(t, at, kind); end.End != RunComplete || body != answer.body {
					t.Errorf("%s %v, %q: end %+v, %q", framing, answer, kind, end, body)
				}
			}
		}
	}
}
