package backendconn

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// silentTest is a pool with one idle connection to a backend server that can be silenced.
type silentTest struct {
	t      *testing.T
	pool   *Pool
	server *scriptedServer
	conn   *conn    // of the pool
	peer   net.Conn // the server's end of it
}

// newSilentTest starts a server that answers the first request at once, later ones when the channel
// is closed.
func newSilentTest(t *testing.T, mayAnswer <-chan struct{}) *silentTest {
	test := &silentTest{t: t, pool: NewPool()}
	peers := make(chan net.Conn, 10)
	test.server = serve(t, func(conn net.Conn, reader *bufio.Reader) {
		peers <- conn
		for request := readRequest(reader); request != nil; request = readRequest(reader) {
			id := request.Header.Get("Id")
			if id != "first" {
				<-mayAnswer
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	mustExchange(t, test.pool, test.server.address, "first")
	test.conn, test.peer = test.pool.hosts[test.server.address].idle[0], <-peers
	return test
}

// silence makes the server's kernel drop all that comes on the connection, as a partition does, or
// ends that.
func (s *silentTest) silence(silent bool) { silence(s.t, s.peer, silent) }

func silence(t *testing.T, peer net.Conn, silent bool) {
	t.Helper()
	raw, err := peer.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		if !silent {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
	if err != nil || failed != nil {
		t.Fatal(err, failed)
	}
}

// probed reports whether the kernel probes the peer of the pool's connection.
func (s *silentTest) probed() bool {
	s.t.Helper()
	var value int
	var err error
	if controlErr := control(s.conn.Conn, func(fd int) { value, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE) }); controlErr != nil || err != nil {
		s.t.Fatal(controlErr, err)
	}
	return value != 0
}

// start starts an exchange and returns its result.
func (s *silentTest) start() <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := exchange(s.t, s.pool, s.server.address, newRequest("second"))
		result <- err
	}()
	return result
}

// Guards against requests that the kernel gives up, so that a partition may still deliver them after
// they have been answered otherwise: this router resets their connection first. Later requests do
// not wait for the idle connections to the same server.
func TestRequestIsResetBeforeTheKernelGivesItUp(t *testing.T) {
	t.Parallel()
	mayAnswer := make(chan struct{})
	close(mayAnswer)
	s := newSilentTest(t, mayAnswer)
	held := sendAndHold(t, s.pool, s.server.address, "held")
	mustExchange(t, s.pool, s.server.address, "other")
	drainAndClose(t, held)
	if idle := s.pool.hosts[s.server.address].idle; len(idle) != 2 || idle[1] != s.conn {
		t.Fatalf("%d idle connections, want 2", len(idle))
	}
	if s.probed() {
		t.Error("the kernel probes an idle connection, and may end it under a request")
	}
	s.silence(true)
	start := time.Now()
	err := <-s.start()
	if took := time.Since(start); !errors.Is(err, ErrUnacknowledged) || took < ackTimeout || took > userTimeout {
		t.Errorf("ended after %v: %v; want a reset by this router after %v", took, err, ackTimeout)
	}
	if open := s.pool.Open(s.server.address); open != 0 {
		t.Errorf("%d connections are left", open)
	}
	s.silence(false)
	// Beyond the pause between two transmissions of a request that is still in flight.
	_ = s.peer.SetReadDeadline(time.Now().Add(4 * time.Second))
	if n, _ := s.peer.Read(make([]byte, 1)); n != 0 {
		t.Error("the request arrived after it had failed")
	}
}

// Guards against a server that is taken for silent while it works on a request, and against one
// that falls silent then and is not found out.
func TestServerThatHasAcknowledgedIsProbed(t *testing.T) {
	t.Parallel()
	for name, silent := range map[string]bool{"slow": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			mayAnswer := make(chan struct{})
			s := newSilentTest(t, mayAnswer)
			start := time.Now()
			result := s.start()
			time.Sleep(firstAckCheck + 300*time.Millisecond)
			if !s.probed() {
				t.Error("the kernel does not probe a server that is at work on a request")
			}
			if silent {
				s.silence(true)
				defer close(mayAnswer)
			} else {
				time.AfterFunc(ackTimeout, func() { close(mayAnswer) })
			}
			err := <-result
			took := time.Since(start)
			switch {
			case !silent && err != nil:
				t.Errorf("ended after %v: %v", took, err)
			case !silent && s.probed():
				t.Error("the kernel probes the idle connection")
			case silent && (!errors.Is(err, syscall.ETIMEDOUT) || took > 5*time.Second):
				t.Errorf("ended after %v: %v, want an end by the kernel's probes", took, err)
			}
		})
	}
}

// Guards against requests that wait on an open connection to a server that can't be reached any
// more, although a new connection would show that before anything is sent.
func TestConnectionIsNotUsedOnceItsServerHasNotBeenHeard(t *testing.T) {
	server := echoServer(t, "Keep-Alive: timeout=60\r\n")
	pool, seen := newObservedPool()
	mustExchange(t, pool, server.address, "1")
	mustExchange(t, pool, server.address, "2")
	pool.hosts[server.address].heard = boottime.Now().Add(-maxUnheard - time.Second)
	mustExchange(t, pool, server.address, "3")
	mustExchange(t, pool, server.address, "4")
	seen.check(t, ReasonFirst, ReasonUnheard)
}

// Guards against streams that are taken up and wait on an open connection to a server that can't be
// reached any more, although the list is current, so that a new connection is certain too.
func TestStreamThatGoesOnIsNotSentToAnUnheardServer(t *testing.T) {
	t.Parallel()
	mayAnswer := make(chan struct{})
	close(mayAnswer)
	s := newSilentTest(t, mayAnswer)
	s.silence(true)
	s.pool.hosts[s.server.address].heard = boottime.Now().Add(-maxUnheard - time.Second)
	request := newRequest("second")
	request.Certain = true
	if _, err := exchange(t, s.pool, s.server.address, request); err != nil {
		t.Errorf("the request failed: %v", err)
	}
}

// Guards against a server that has been silent for a moment and loses all its idle connections.
func TestUnheardServerKeepsItsOtherConnections(t *testing.T) {
	server := echoServer(t, "Keep-Alive: timeout=60\r\n")
	pool := NewPool()
	var held []*Answer
	for range 8 {
		held = append(held, sendAndHold(t, pool, server.address, "1"))
	}
	for _, answer := range held {
		drainAndClose(t, answer)
	}
	pool.hosts[server.address].heard = boottime.Now().Add(-maxUnheard - time.Second)
	mustExchange(t, pool, server.address, "2")
	if open := pool.Open(server.address); open != 8 {
		t.Errorf("%d connections are open, want 8", open)
	}
}

// Guards against connections that are opened beside a stream whose events show that its server can be
// reached.
func TestEventsOfAStreamAreHeard(t *testing.T) {
	t.Parallel()
	stop := make(chan struct{})
	server := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		for request := readRequest(reader); request != nil; request = readRequest(reader) {
			id := request.Header.Get("Id")
			if id != "stream" {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
					io.WriteString(conn, "1\r\nx\r\n")
				}
			}
		}
	})
	pool, seen := newObservedPool()
	mustExchange(t, pool, server.address, "first")
	stream := sendAndHold(t, pool, server.address, "stream")
	drainAndClose(t, sendAndHold(t, pool, server.address, "other"))
	go io.Copy(io.Discard, stream)
	time.Sleep(maxUnheard + 500*time.Millisecond)
	mustExchange(t, pool, server.address, "later")
	close(stop)
	seen.check(t, ReasonFirst, ReasonBusy)
}
