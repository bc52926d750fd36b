package agent

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/settings"
	"github.com/bluebellchute/bluebellchute/internal/testresponse"
)

// invalidStatuses are statuses that the protocol does not have, or not without being asked for.
var invalidStatuses = []string{"000", "001", "099", "-00", "+20", "101", "600", "999"}

// Guards against an answer with such a status that is held as one.
func TestInvalidStatusFails(t *testing.T) {
	for _, status := range invalidStatuses {
		for name, rest := range map[string]string{
			"text":               "Content-Length: 5\r\n\r\nwhole",
			"no body":            "Content-Length: 0\r\n\r\n",
			"no length":          "\r\nwhole",
			"answer in its body": "Content-Length: 43\r\n\r\n" + framedAnswer("length", "text/plain", "whole", 0),
		} {
			for _, kind := range []settings.ServiceKind{settings.KindPlain, settings.KindModel} {
				at := healthyAnd(t, func(*http.Request) (string, testresponse.End) {
					return fmt.Sprintf("HTTP/1.1 %s X\r\n%s", status, rest), testresponse.Close
				})
				if end, body := runAt(t, at, kind); end.End != RunFailed {
					t.Errorf("%s, %s, %v: end %+v, %q; want a failure", status, name, kind, end, body)
				}
			}
		}
	}
}

// Guards against a backend server that counts as healthy, or as without load, by an answer with such a
// status.
func TestProbeAnswerWithAnInvalidStatusFails(t *testing.T) {
	for _, status := range invalidStatuses {
		at := newBackend(testresponse.Serve(t, func(*http.Request) (string, testresponse.End) {
			return fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: 12\r\n\r\n{\"slots\":12}", status), testresponse.Close
		}))
		if at.healthy() {
			t.Errorf("%s counts as healthy", status)
		}
		var report loadReport
		if err := at.get(loadPath, &report); err == nil {
			t.Errorf("%s counts as the load %+v", status, report)
		}
	}
}

// invalidFields are lines of a head that are no fields, or whose names have whitespace or a control byte.
var invalidFields = []string{
	"X Odd: v\r\n", "X-Odd : v\r\n", "X-A: v\r\n X-Odd: v\r\n", "X-A: v\r\n\tmore\r\n", "X-\x00Odd: v\r\n", "X-Odd\t: v\r\n", "X-Odd\x7f: v\r\n",
	"Content-Length : 4\r\n", "X-A: v\r\n Content-Length: 4\r\n", "Transfer-Encoding : chunked\r\n",
}

// Guards against an answer with such a line that is held as one: the line would be forwarded, or the
// body be another than the server sent.
func TestInvalidFieldFails(t *testing.T) {
	for _, line := range invalidFields {
		for _, before := range []string{"", "HTTP/1.1 103 X\r\n" + line + "\r\n"} {
			for _, kind := range []settings.ServiceKind{settings.KindPlain, settings.KindModel} {
				answer := "HTTP/1.1 200 OK\r\nX-B: v\r\n" + line + "\r\n5\r\nwhole\r\n0\r\n\r\n"
				if before != "" {
					answer = before + framedAnswer("length", "text/plain", "whole", 0)
				}
				at := healthyAnd(t, func(*http.Request) (string, testresponse.End) { return answer, testresponse.Close })
				if end, body := runAt(t, at, kind); end.End != RunFailed {
					t.Errorf("%q, %v: end %+v, %q; want a failure", answer, kind, end, body)
				}
			}
		}
	}
}

// Guards against raw chunks that are held as an answer: HTTP/1.0 does not have chunks, and the HTTP library
// ignores the field.
func TestChunksOfHTTP10Fail(t *testing.T) {
	for _, fields := range []string{"Transfer-Encoding: chunked\r\n", "Content-Length: 3\r\ntransfer-encoding:chunked\r\n"} {
		for _, kind := range []settings.ServiceKind{settings.KindPlain, settings.KindModel} {
			at := healthyAnd(t, func(*http.Request) (string, testresponse.End) {
				return "HTTP/1.0 200 OK\r\n" + fields + "\r\n5\r\nwhole\r\n0\r\n\r\n", testresponse.Close
			})
			if end, body := runAt(t, at, kind); end.End != RunFailed {
				t.Errorf("%q, %v: end %+v, %q; want a failure", fields, kind, end, body)
			}
		}
	}
}

// Guards against an answer that is refused for the interim answers before it.
func TestInterimAnswersAreSkipped(t *testing.T) {
	at := healthyAnd(t, func(*http.Request) (string, testresponse.End) {
		return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + framedAnswer("length", "text/plain", "whole", 0), testresponse.Keep
	})
	for range 2 { // on one connection
		if end, body := runAt(t, at, settings.KindPlain); end.End != RunComplete || body != "whole" {
			t.Errorf("end %+v, %q", end, body)
		}
	}
}
