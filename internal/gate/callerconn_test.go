package gate

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// connPair returns a caller's connection at the router and at the caller.
func connPair(t *testing.T) (*callerConn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		caller.Close()
		conn.Close()
	})
	return &callerConn{Conn: conn}, caller
}

// readAfterDeadline sends the data, lets the read deadline pass, and reads.
func readAfterDeadline(t *testing.T, conn *callerConn, caller net.Conn, data string) (int, error) {
	t.Helper()
	if _, err := io.WriteString(caller, data); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // until the data has arrived
	if err := conn.SetReadDeadline(pastDeadline); err != nil {
		t.Fatal(err)
	}
	return conn.Read(make([]byte, len(data)+1))
}

// Guards against a reset in place of an answer: the deadline passes while the process is
// stalled, and the request that had arrived is dropped unread.
func TestRequestThatArrivedBeforeItsDeadlineIsRead(t *testing.T) {
	conn, caller := connPair(t)
	if n, err := readAfterDeadline(t, conn, caller, "GET"); n != 3 || err != nil {
		t.Fatalf("%d bytes are read (%v), want 3", n, err)
	}
	// The rest of the header may follow, but not without an end.
	if n, err := readAfterDeadline(t, conn, caller, " /"); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a second deadline is extended: %d bytes are read (%v)", n, err)
	}
	conn.setState(http.StateActive)
	conn.setState(http.StateIdle)
	if n, err := readAfterDeadline(t, conn, caller, "GET"); n == 0 || err != nil {
		t.Errorf("the next request is not read: %v", err)
	}
}

// Guards against idle connections that are never closed, and against a read by net/http
// during a request that does not end when it should.
func TestReadDeadlineHoldsWithoutARequest(t *testing.T) {
	conn, caller := connPair(t)
	if n, err := readAfterDeadline(t, conn, caller, ""); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes are read (%v), want an expired deadline", n, err)
	}
	conn.setState(http.StateActive)
	if n, err := readAfterDeadline(t, conn, caller, "GET"); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("during a request %d bytes are read (%v), want an expired deadline", n, err)
	}
}

// Guards against sending requests for callers whose connections ended otherwise than by a
// close or a reset.
func TestFailedConnectionCountsAsDisconnected(t *testing.T) {
	conn, _ := connPair(t)
	ctx := withCallerConn(t.Context(), conn)
	if callerDisconnected(ctx) {
		t.Fatal("an open connection counts as disconnected")
	}
	conn.Conn.Close()
	if !callerDisconnected(ctx) {
		t.Error("a connection that has failed counts as connected")
	}
}
