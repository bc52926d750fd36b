package gate

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/crash"
)

// dropAll makes the kernel drop all that comes on the connection, as a partition does.
func dropAll(conn net.Conn) error {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
	if err != nil {
		return err
	}
	return failed
}

// Guards against a request that never reached its server, which was cut off, and counts as one that
// crashed it.
func TestRequestThatWasNotReceivedCrashesNoServer(t *testing.T) {
	t.Parallel()
	silent := make(chan error, 1)
	m := plainGate(t, PlainSettings{}, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			silent <- err
			return
		}
		t.Cleanup(func() { conn.Close() })
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(100 * time.Millisecond) // until the answer has been acknowledged
		silent <- dropAll(conn)
	})
	if answer := askPlain(m); answer.StatusCode != http.StatusOK {
		t.Fatal(answer.Status)
	}
	if err := <-silent; err != nil {
		t.Fatal(err)
	}
	if answer := askPlain(m); answer.StatusCode != http.StatusBadGateway {
		t.Errorf("the answer is %s, want one that does not say whether the request has run", answer.Status)
	}
	for ends := time.Now().Add(crash.ReportedSilenceTimeout + time.Second); time.Now().Before(ends); {
		time.Sleep(crash.JudgeInterval)
		m.handler.judgeDue(boottime.Now())
		if suspects := m.TakeCrashFingerprints(); len(suspects) > 0 {
			t.Fatal("a request that was not received was found to have crashed its server")
		}
	}
}
