package agent

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/settings"
	"github.com/bluebellchute/bluebellchute/internal/testresponse"
)

const oneEvent = "id: 1\ndata: a\n\n"

// healthyAnd returns a backend server that passes health checks and answers all else as the function
// says.
func healthyAnd(t *testing.T, respond func(request *http.Request) (string, testresponse.End)) *backend {
	t.Helper()
	return newBackend(testresponse.Serve(t, func(request *http.Request) (string, testresponse.End) {
		if request.URL.Path == healthPath {
			return framedAnswer("length", "text/plain", "", 0), testresponse.Keep
		}
		return respond(request)
	}))
}

// forEachResponse runs the test for responses with the body in each framing, closed and reset.
func forEachResponse(t *testing.T, contentType, body string, test func(t *testing.T, response testresponse.Response, end testresponse.End)) {
	t.Helper()
	for _, response := range testresponse.Framed(http.StatusOK, body, "Content-Type: "+contentType, "X-A: b") {
		for _, end := range []testresponse.End{testresponse.Close, testresponse.Reset} {
			t.Run(fmt.Sprintf("%s, %s, end %d", contentType, response.Name, end), func(t *testing.T) {
				t.Parallel()
				test(t, response, end)
			})
		}
	}
}

// Guards against an answer of a plain service that is broken off at any byte and held as complete, as
// the first answer on a connection and as the second.
func TestPlainAnswerCutAtAnyByteFails(t *testing.T) {
	for _, contentType := range []string{"text/event-stream", "text/plain"} {
		forEachResponse(t, contentType, oneEvent, func(t *testing.T, response testresponse.Response, end testresponse.End) {
			var sent atomic.Pointer[string]
			at := healthyAnd(t, func(*http.Request) (string, testresponse.End) {
				if part := sent.Load(); part != nil {
					return *part, end
				}
				return framedAnswer("length", contentType, oneEvent, 0), testresponse.Keep
			})
			places := len(response.Bytes())
			if !response.Marked && contentType == "text/plain" {
				places = len(response.Head) // a part of its body can't be told from the whole
			}
			for length := range places {
				sent.Store(nil)
				if length%2 == 0 {
					if held, body := runAt(t, at, settings.KindPlain); held.End != RunComplete || body != oneEvent {
						t.Fatalf("a whole answer: %+v, %q", held, body)
					}
				}
				part := response.Bytes()[:length]
				sent.Store(&part)
				if held, body := runAt(t, at, settings.KindPlain); held.End == RunComplete {
					t.Errorf("%q is held as complete: %q", part, body)
				}
			}
		})
	}
}

// Guards against a stream of a model engine that is broken off at any byte and held as complete or
// with bytes missing, where it begins and where it is resumed.
func TestModelAnswerCutAtAnyByteIsResumedOrFails(t *testing.T) {
	const contentType = "text/event-stream"
	for at, response := range testresponse.Framed(http.StatusOK, oneEvent, "Content-Type: "+contentType) {
		for _, end := range []testresponse.End{testresponse.Close, testresponse.Reset} {
			t.Run(fmt.Sprintf("%s, end %d", response.Name, end), func(t *testing.T) {
				t.Parallel()
				var length atomic.Int64
				var cutsResumed atomic.Bool
				engine := healthyAnd(t, func(request *http.Request) (string, testresponse.End) {
					offset, err := strconv.Atoi(request.URL.Query().Get("offset"))
					resumed := strings.HasPrefix(request.URL.Path, streamsPath) && err == nil
					if resumed != cutsResumed.Load() {
						if resumed {
							return framedAnswer("length", contentType, oneEvent[offset:], 0), testresponse.Close
						}
						return framedAnswer("length", contentType, oneEvent[:5], 10), testresponse.Close
					}
					whole := testresponse.Framed(http.StatusOK, oneEvent[offset:], "Content-Type: "+contentType)[at].Bytes()
					return whole[:min(int(length.Load()), len(whole))], end
				})
				for cut := range len(response.Bytes()) {
					length.Store(int64(cut))
					for _, resumed := range []bool{false, true} {
						cutsResumed.Store(resumed)
						if held, body := runAt(t, engine, settings.KindModel); held.End == RunComplete && body != oneEvent {
							t.Errorf("cut after %q, resumed %t: held as complete: %q", response.Bytes()[:cut], resumed, body)
						}
					}
				}
			})
		}
	}
}

// Guards against a backend server that counts as healthy, or as without load, because an answer to a
// probe was broken off.
func TestProbeAnswerCutAtAnyByteFails(t *testing.T) {
	const load = `{"slots":12,"running":3,"waiting":1,"age_ms":5}`
	forEachResponse(t, "application/json", load, func(t *testing.T, response testresponse.Response, end testresponse.End) {
		var sent atomic.Pointer[string]
		at := newBackend(testresponse.Serve(t, func(*http.Request) (string, testresponse.End) { return *sent.Load(), end }))
		for length := range len(response.Bytes()) {
			part := response.Bytes()[:length]
			sent.Store(&part)
			if (response.Marked || length < len(response.Head)) && at.healthy() {
				t.Errorf("%q counts as healthy", part)
			}
			var report loadReport
			if err := at.get(loadPath, &report); err == nil {
				t.Errorf("%q counts as the load %+v", part, report)
			}
		}
	})
}
