package platform

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/testresponse"
)

// Guards against a reply that counts although its status is none that the protocol has: a record
// would count as written.
func TestReplyWithAnInvalidStatusIsAnError(t *testing.T) {
	for name, call := range rawCalls {
		for _, status := range []string{"000", "001", "099", "-00", "+20", "101", "600", "999"} {
			client := NewClient(testresponse.Serve(t, func(*http.Request) (string, testresponse.End) {
				return fmt.Sprintf("HTTP/1.1 %s X\r\n%s: 7\r\nContent-Length: %d\r\n\r\n%s", status, headerVersion, len(rawBody), rawBody), testresponse.Close
			}), ClientOptions{})
			t.Cleanup(client.Close)
			if call(t.Context(), client) == nil {
				t.Errorf("%s: %s counts as a reply", name, status)
			}
		}
	}
}

// Guards against a reply that counts although a field name has whitespace, so that a record would
// have another version.
func TestReplyWithAnInvalidFieldIsAnError(t *testing.T) {
	for name, call := range rawCalls {
		for _, field := range []string{headerVersion + " : 9", "X Odd: v", "X-A: v\r\n " + headerVersion + ": 9"} {
			client := NewClient(testresponse.Serve(t, func(*http.Request) (string, testresponse.End) {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s", field, len(rawBody), rawBody), testresponse.Close
			}), ClientOptions{})
			t.Cleanup(client.Close)
			if call(t.Context(), client) == nil {
				t.Errorf("%s: a reply with %q counts", name, field)
			}
		}
	}
}
