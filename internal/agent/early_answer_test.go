package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/settings"
)

// earlyEnd is what a backend server does with the connection after an early answer.
type earlyEnd string

const (
	earlyReset     earlyEnd = "reset"
	earlyHalfClose earlyEnd = "half closed, then reset"
	earlyProperEnd earlyEnd = "half closed, then the upload is read"
)

// earlyBackend is a backend server that answers uploads before it has read them, without a length.
func earlyBackend(t *testing.T, body string, end earlyEnd) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	serve := func(conn *net.TCPConn) {
		defer conn.Close()
		_ = conn.SetReadBuffer(32 << 10) // fails only on a closed connection
		reader := bufio.NewReader(conn)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == healthPath {
			_, _ = io.WriteString(conn, framedAnswer("length", "text/plain", "", 0))
			return
		}
		_, _ = io.WriteString(conn, framedAnswer("close", "text/plain", body, 0))
		if end != earlyReset {
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond) // the end arrives before the reset
		}
		if end == earlyProperEnd {
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		_ = conn.SetLinger(0)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return newBackend(fleet.Address(listener.Addr().String()))
}

// Guards against a part of an answer that is held as complete: it states no length, and its connection
// is reset while the request is still being sent.
func TestEarlyAnswerWhoseConnectionIsResetFails(t *testing.T) {
	for _, c := range []struct {
		upload int
		end    earlyEnd
	}{
		{6 << 20, earlyReset}, {1 << 20, earlyReset}, {100 << 10, earlyReset},
		{6 << 20, earlyHalfClose}, {1 << 20, earlyHalfClose}, // a shorter one has been received before the reset
	} {
		t.Run(fmt.Sprintf("%d bytes, %s", c.upload, c.end), func(t *testing.T) {
			t.Parallel()
			at := earlyBackend(t, "a part of", c.end)
			for range 4 {
				if end, body := runBodyAt(t, at, settings.KindPlain, strings.Repeat("u", c.upload)); end.End == RunComplete {
					t.Fatalf("%q is held as complete", body)
				}
			}
		})
	}
}

// Guards against a whole answer that is taken for a broken one, as the upload goes on after its end.
func TestEarlyAnswerThatEndsInOrderIsHeld(t *testing.T) {
	for _, upload := range []int{6 << 20, 1 << 20, 100 << 10, 3 << 10} {
		for _, kind := range []settings.ServiceKind{settings.KindPlain, settings.KindModel} {
			at := earlyBackend(t, "whole", earlyProperEnd)
			if end, body := runBodyAt(t, at, kind, strings.Repeat("u", upload)); end.End != RunComplete || body != "whole" {
				t.Errorf("%d bytes, %v: end %+v, %q", upload, kind, end, body)
			}
		}
	}
}
