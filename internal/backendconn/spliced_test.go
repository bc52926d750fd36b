package backendconn

import (
	"net/http"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/testresponse"
)

// Guards against an answer that is refused because a field of its header, or its reason, has a text
// that looks like a part of another answer.
func TestAnswerThatNamesAProtocolIsNotRefused(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 x", "HTTP/1.1 proxy.example, 1.1 other", "HTTP/1.1", "x (HTTP/1.1)", "HTTP/1.1 10.0.0.7", "HTTP/1.1 8080",
		"HTTP/1.1 20", "HTTP/1.1 2000", "HTTP/1.1 200x", "HTTP/1.1\t200 OK", "http/1.1 200 OK", "HTTP/1.x 200 OK", "HTTP/11 200 OK",
	} {
		for place, head := range map[string]string{
			"value":  "HTTP/1.1 200 OK\r\nVia: " + text,
			"list":   "HTTP/1.1 200 OK\r\nVia: 1.0 first\r\nVia: " + text,
			"reason": "HTTP/1.1 200 " + text + "\r\nVia: 1.0 first",
		} {
			for _, kept := range []bool{false, true} {
				address := testresponse.Serve(t, func(*http.Request) (string, testresponse.End) {
					return head + "\r\nId: a\r\nContent-Length: 3\r\n\r\nown", testresponse.Keep
				})
				pool := NewPool()
				request := newRequest("a")
				request.AtMostOnce = true
				status, body, _, err := exchangeBody(pool, address, request)
				if kept {
					status, body, _, err = exchangeBody(pool, address, request)
				}
				if err != nil || status != http.StatusOK || body != "own" {
					t.Errorf("%q in the %s, kept %t: status %d, %q, %v", text, place, kept, status, body, err)
				}
			}
		}
	}
}

// Guards against an answer that begins within a line of another and is not noticed: what the first one
// says would count for the second.
func TestAnswerThatBeginsInsideAnotherIsRefused(t *testing.T) {
	for _, statusLine := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 503 Service Unavailable", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.1  200 OK", "HTTP/1.1 200  OK", "HTTP/2.0 200 OK"} {
		for _, beginning := range []string{"HTTP/1.1 503 ", "HTTP/1.1 503 Serv", "HTTP/1.1 503 X\r", "HTTP/1.1 503 X\r\nVia:", "HTTP/1.1 503 X\r\nVia: 1.1 HTTP/1.1 ", "HTTP/1.1 503 X\r\nVia: HTTP/1.1 2", "HTTP/1.1 503 X\r\nVia: a\r\nVia: b "} {
			address := testresponse.Serve(t, func(*http.Request) (string, testresponse.End) {
				return beginning + statusLine + "\r\nId: a\r\nContent-Length: 3\r\n\r\nown", testresponse.Keep
			})
			if status, body, _, err := exchangeBody(NewPool(), address, newRequest("a")); err == nil {
				t.Errorf("%q before %q: status %d, %q", beginning, statusLine, status, body)
			}
		}
	}
}
