package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// eventThenReset answers with one event of a stream and then resets the connection.
func eventThenReset(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	_ = http.NewResponseController(w).Flush()
	time.Sleep(20 * time.Millisecond)
	panic(http.ErrAbortHandler)
}

// longBodyThenReset answers with more than is buffered and then resets the connection.
func longBodyThenReset(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(make([]byte, maxBufferedAnswer+1))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// longBody answers with a body that is too long to be buffered, in chunks.
func longBody(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(make([]byte, maxBufferedAnswer))
	_ = http.NewResponseController(w).Flush()
	_, _ = io.WriteString(w, "the rest")
}

// exchangeHTTP10 sends a request of HTTP/1.0 and reads until the connection ends.
func exchangeHTTP10(t *testing.T, conn net.Conn, path string) (string, error) {
	t.Helper()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.0\r\nHost: h\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(2 * testGrace)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// Guards against an answer that ends early but looks complete to a caller without chunks,
// for whom the end of the connection is the end of the body.
func TestAbortedAnswerWithoutFramingIsReset(t *testing.T) {
	for name, exchange := range map[string]struct {
		path  string
		serve http.HandlerFunc
	}{
		"stream":      {"/stream/x", eventThenReset},
		"long answer": {"/whole/x", longBodyThenReset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startDrainingGate(t, 15*time.Second, exchange.serve)
			if answer, err := exchangeHTTP10(t, g.connect(t), exchange.path); err == nil {
				t.Errorf("an incomplete answer of %d bytes ends as if it were complete", len(answer))
			}
		})
	}
}

// Guards against the same failure where the router itself cuts the answer at the end of
// draining.
func TestAnswerWithoutFramingCutByDrainingIsReset(t *testing.T) {
	t.Parallel()
	g := startDrainingGate(t, 15*time.Second, endlessStream)
	conn := g.connect(t)
	go func() {
		awaitCount(t, "arrivals", func() int { return int(g.arrived.Load()) })
		g.stop()
	}()
	if answer, err := exchangeHTTP10(t, conn, "/stream/x"); err == nil {
		t.Errorf("an incomplete answer of %d bytes ends as if it were complete", len(answer))
	}
}

// Guards against resets of connections whose answers are complete.
func TestCompleteAnswerWithoutFramingIsNotReset(t *testing.T) {
	stream := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "id: 1\ndata: x\n\n") }
	for name, exchange := range map[string]struct {
		path   string
		serve  http.HandlerFunc
		suffix string
	}{
		"stream":      {"/stream/x", stream, "data: x\n\n"},
		"answer":      {"/whole/x", stream, "data: x\n\n"},
		"long answer": {"/whole/x", longBody, "the rest"},
		"refusal":     {"/none/x", stream, "}"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startDrainingGate(t, 15*time.Second, exchange.serve)
			answer, err := exchangeHTTP10(t, g.connect(t), exchange.path)
			if err != nil || !strings.HasSuffix(answer, exchange.suffix) {
				t.Errorf("%d bytes (%v), want the whole answer and a proper end", len(answer), err)
			}
		})
	}
}

// Guards against a connection that ends after a complete answer although its caller keeps it
// open.
func TestConnectionOfACallerWithoutChunksIsKept(t *testing.T) {
	t.Parallel()
	g := startDrainingGate(t, 15*time.Second, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") })
	conn := g.connect(t)
	for range 2 {
		if _, err := io.WriteString(conn, "GET /whole/x HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.Close {
			t.Fatalf("answer %v (%v), want one that keeps the connection", response, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
	}
}

// failingFlush is an http.ResponseWriter whose last bytes can't be sent.
type failingFlush struct{ http.ResponseWriter }

func (failingFlush) FlushError() error { return net.ErrClosed }

// Guards against an answer without framing whose last bytes, which the server sends after the
// handler has returned, are lost unnoticed.
func TestAnswerWithoutFramingWhoseLastBytesAreLostIsReset(t *testing.T) {
	conn, caller := connPair(t)
	request := httptest.NewRequest(http.MethodGet, "/x", nil)
	request.Proto, request.ProtoMajor, request.ProtoMinor = "HTTP/1.0", 1, 0
	request = request.WithContext(withCallerConn(t.Context(), conn))
	handler := resetUnfinished(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	handler.ServeHTTP(failingFlush{httptest.NewRecorder()}, request)
	conn.Conn.Close()
	if _, err := io.ReadAll(caller); err == nil {
		t.Error("the connection ends as if the answer were complete")
	}
}
