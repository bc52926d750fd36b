package backendconn

import (
	"bytes"
	"net/http"
	"runtime"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/testresponse"
)

// Guards against copies of long bodies that take a process over its memory: the bound of all bodies
// counts each once.
func TestLongBodyIsSentWithoutACopy(t *testing.T) {
	const (
		size     = 4 << 20
		requests = 5
	)
	address := testresponse.Serve(t, func(*http.Request) (string, testresponse.End) {
		return "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nown", testresponse.Keep
	})
	request := newRequest("a")
	request.Body = bytes.Repeat([]byte("b"), size)
	pool := NewPool()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range requests {
		if _, _, _, err := exchangeBody(pool, address, request); err != nil {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > size {
		t.Errorf("%d requests with bodies of %d bytes allocated %d bytes", requests, size, allocated)
	}
}
