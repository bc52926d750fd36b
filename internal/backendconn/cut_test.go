package backendconn

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/testresponse"
)

// exchangeBody sends a request and returns the body of its answer. whole says that the answer's
// framing marks its end. A connection that can't be opened on a busy machine is tried again.
func exchangeBody(pool *Pool, address fleet.Address, request *Request) (status int, body string, whole bool, err error) {
	const dials = 20
	answer, err := pool.Do(context.Background(), address, request)
	for range dials {
		if err == nil || ProgressOf(err) != ProgressNone {
			break
		}
		answer, err = pool.Do(context.Background(), address, request)
	}
	if err != nil {
		return 0, "", false, err
	}
	defer answer.Close()
	read, err := io.ReadAll(answer)
	return answer.Status, string(read), answer.EndMarked(), err
}

// Guards against an answer that is broken off at any byte and counts as whole, as the first answer on
// a connection and as the second.
func TestAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	const body = "0123456789ab"
	for _, response := range testresponse.Framed(http.StatusOK, body, "Id: a", "X-Long: "+strings.Repeat("v", 20)) {
		for _, end := range []testresponse.End{testresponse.Close, testresponse.Reset} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, end %d, kept %t", response.Name, end, kept), func(t *testing.T) {
					t.Parallel()
					var sent atomic.Pointer[string]
					address := testresponse.Serve(t, func(request *http.Request) (string, testresponse.End) {
						if request.Header.Get("Id") == "first" {
							return "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 1\r\n\r\nx", testresponse.Keep
						}
						return *sent.Load(), end
					})
					whole := response.Bytes()
					for length := range len(whole) + 1 {
						part := whole[:length]
						sent.Store(&part)
						pool := NewPool()
						if kept {
							if _, _, _, err := exchangeBody(pool, address, newRequest("first")); err != nil {
								t.Fatal(err)
							}
						}
						_, got, marked, err := exchangeBody(pool, address, newRequest("a"))
						switch {
						case length == len(whole) && response.Marked:
							if err != nil || !marked || got != body {
								t.Errorf("whole answer: %q, end marked %t, %v", got, marked, err)
							}
						case marked || err == nil && (response.Marked || length < len(response.Head)):
							t.Errorf("%q counts as whole: %q", part, got)
						}
					}
				})
			}
		}
	}
}

// Guards against an answer to nobody that is broken off at any byte and gives its status or body to
// the request whose own answer follows.
func TestStrayAnswerCutAtAnyByteIsNotMixedWithAnother(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nown"
	for _, stray := range append(
		testresponse.Framed(http.StatusServiceUnavailable, "stray", "Retry-After: 1", "X-Long: "+strings.Repeat("v", 20)),
		testresponse.Framed(http.StatusOK, "stray", "Id: z", "Retry-After: 1")...,
	) {
		t.Run(stray.Name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Pointer[string]
			address := testresponse.Serve(t, func(request *http.Request) (string, testresponse.End) {
				if request.Header.Get("Id") == "first" {
					return "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 1\r\n\r\nx", testresponse.Keep
				}
				return *sent.Load() + own, testresponse.Close
			})
			for length := range len(stray.Head) {
				part := stray.Head[:length]
				sent.Store(&part)
				pool := NewPool()
				if _, _, _, err := exchangeBody(pool, address, newRequest("first")); err != nil {
					t.Fatal(err)
				}
				request := newRequest("a")
				request.AtMostOnce = true
				status, body, _, err := exchangeBody(pool, address, request)
				if err == nil && (status != http.StatusOK || body != "own") {
					t.Errorf("after %q: status %d, %q", part, status, body)
				}
				if length == 0 && err != nil {
					t.Errorf("its own answer alone: %v", err)
				}
			}
		})
	}
}
