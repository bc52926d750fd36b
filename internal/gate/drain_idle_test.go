package gate

import (
	"bufio"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against closing a keep-alive connection whose next request has arrived and waits
// to be read on a busy processor.
func TestRequestThatHasArrivedWhenIdleConnectionsAreClosedIsAnswered(t *testing.T) {
	checkIdleCloseRace(t, func(send, closeIdle func()) {
		send()
		closeIdle()
	})
}

// Guards against dropping a request that arrives after its idle connection was to be closed,
// but before the server, on a busy processor, gets to close it.
func TestRequestThatArrivesBeforeItsIdleConnectionIsClosedIsAnswered(t *testing.T) {
	checkIdleCloseRace(t, func(send, closeIdle func()) {
		closeIdle()
		send()
	})
}

// checkIdleCloseRace lets race send a request on an idle connection and close idle
// connections, and checks that the request is answered.
func checkIdleCloseRace(t *testing.T, race func(send, closeIdle func())) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const trials = 20
	lost := 0
	for range trials {
		g := startDrainingGate(t, time.Second, func(http.ResponseWriter, *http.Request) {})
		conn := g.keepAliveConnection(t)
		raw, err := conn.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // until the connection is idle
		g.acceptor.drain.listenerClosed.Store(true)
		err = raw.Control(func(fd uintptr) {
			// The server can't run between the two.
			send := func() { _, _ = unix.Write(int(fd), []byte("GET /none HTTP/1.1\r\nHost: h\r\n\r\n")) }
			race(send, g.acceptor.callers.closeIdle)
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d requests were not answered", lost, trials)
	}
}
