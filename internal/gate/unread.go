package gate

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

const (
	// maxUnreadHead is the longest head of a request, in bytes, that is refused unread.
	maxUnreadHead = 16 << 10
	// lingerTime is how long the rest of a request is awaited that is refused before it has
	// arrived completely. A connection closed before that is reset, and its caller may lose
	// the refusal.
	lingerTime = 500 * time.Millisecond
	// maxLingering bounds the connections that linger at the same time.
	maxLingering = 128
	// maxDiscardedReads bounds the reads, of maxUnreadHead bytes each, with which the body of a
	// refused request is dropped at once. A caller may send as fast as it is read.
	maxDiscardedReads = 16
	// maxLingerBytes bounds what is read of a body while its connection lingers.
	maxLingerBytes = 1 << 20
)

// unreadRequests refuses requests that wait unread on connections about to be closed. It looks
// at their heads only, as a router that lacks processor time can't afford more. Its methods may
// be called concurrently.
type unreadRequests struct {
	// refused is called with each request that was refused. Its body is empty.
	refused   func(request *http.Request, refusal Refusal)
	lingering chan struct{} // holds a token for each connection that lingers
	heads     sync.Pool     // of *[maxUnreadHead]byte
}

func newUnreadRequests() *unreadRequests {
	return &unreadRequests{
		refused:   func(*http.Request, Refusal) {},
		lingering: make(chan struct{}, maxLingering),
		heads:     sync.Pool{New: func() any { return new([maxUnreadHead]byte) }},
	}
}

// refuse answers the request that has arrived on the connection and closes the connection. It
// returns false, and leaves the connection as it is, if no complete head has arrived.
func (u *unreadRequests) refuse(conn net.Conn, refusal Refusal) bool {
	buffer := u.heads.Get().(*[maxUnreadHead]byte)
	defer u.heads.Put(buffer)
	n, _ := receive(conn, buffer[:], unix.MSG_PEEK)
	request, size := parseHead(buffer[:n])
	if request == nil {
		return false
	}
	whole := discardArrived(conn, buffer[:], size)
	_ = conn.SetWriteDeadline(time.Now().Add(lingerTime)) // a failure shows when the answer is written
	_, err := conn.Write(encodeRefusal(request, refusal))
	u.refused(request, refusal)
	if whole || err != nil {
		_ = conn.Close() // the answer is on its way, or its caller has disconnected
		return true
	}
	u.linger(conn)
	return true
}

// parseHead parses the head of a request. It returns the size of the request in bytes, -1 if
// unknown, or nil if the head is not complete or not valid.
func parseHead(received []byte) (*http.Request, int64) {
	end := bytes.Index(received, []byte("\r\n\r\n"))
	if end < 0 {
		return nil, 0
	}
	end += len("\r\n\r\n")
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(received[:end])))
	if err != nil {
		return nil, 0
	}
	if request.ContentLength < 0 {
		return request, -1
	}
	return request, int64(end) + request.ContentLength
}

// discardArrived reads and drops what has arrived of a request of the given size, -1 if unknown.
// It reports whether that was all of it.
func discardArrived(conn net.Conn, buffer []byte, size int64) bool {
	left := size
	for range maxDiscardedReads {
		if left == 0 {
			return true
		}
		part := buffer
		if left > 0 && left < int64(len(part)) {
			part = part[:left]
		}
		n, err := receive(conn, part, 0)
		if err != nil || n == 0 {
			return false
		}
		if left > 0 {
			left -= int64(n)
		}
	}
	return left == 0
}

// receive receives bytes that have arrived, without waiting. It returns an error if there are
// none, and 0 bytes if the peer has closed the connection.
func receive(conn net.Conn, buffer []byte, flags int) (int, error) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errNoSyscallConn
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, receiveErr := 0, error(nil)
	// Control rather than Read, as the server's own read holds the lock of Read.
	err = raw.Control(func(fd uintptr) {
		n, _, receiveErr = unix.Recvfrom(int(fd), buffer, flags|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return max(n, 0), receiveErr
}

// encodeRefusal returns the refusal as an answer after which the connection ends.
func encodeRefusal(request *http.Request, refusal Refusal) []byte {
	body, err := json.Marshal(refusalBody{Error: refusal.Reason})
	if err != nil {
		panic(err) // a string can always be encoded
	}
	answer := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nRetry-After: %.3f\r\nConnection: close\r\n\r\n",
		refusal.Status, http.StatusText(refusal.Status), len(body), refusal.RetryAfter.Seconds())
	if request.Method == http.MethodHead {
		return answer
	}
	return append(answer, body...)
}

// linger closes a connection once its caller has closed it or lingerTime has passed.
func (u *unreadRequests) linger(conn net.Conn) {
	select {
	case u.lingering <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	go func() {
		defer func() { <-u.lingering }()
		defer conn.Close()
		if half, ok := conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite() // fails if the caller has closed it
		}
		_ = conn.SetReadDeadline(time.Now().Add(lingerTime)) // likewise
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxLingerBytes))
	}()
}

// recordUnreadRefusal records a request that was refused unread. For lack of processor time it
// counts as requested by its account, as in ServeHTTP.
func (h *handler) recordUnreadRefusal(r *http.Request, refusal Refusal) {
	h.metrics.refused(refusal)
	request, err := h.dialect.Decode(r)
	if err != nil {
		h.requestLog.refused(nil, refusal)
		return
	}
	request.Received = boottime.Now()
	denied := identify(request, h.state.View(), h.settings.get().Freshness, rand.Float64())
	if denied != nil || refusal.Reason != ReasonOverloaded {
		h.admission.recordUnrelatedRefusal(request)
	} else {
		h.admission.recordRequest(request)
		h.requestLog.counts.addRequested(request)
	}
	h.requestLog.refused(request, refusal)
}
