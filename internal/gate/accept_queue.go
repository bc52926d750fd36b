package gate

import (
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// closeListener closes the listener. Callers may have sent requests on connections that wait to be
// accepted, and the kernel would reset these.
func (a *acceptor) closeListener(listener *callerListener) {
	refused := a.emptyAcceptQueue(listener)
	waiting := acceptQueueLength(listener)
	_ = listener.Close() // nothing can be done about a failure
	a.unanswered.listenerClosed(a.drain.draining(), refused, waiting)
	a.mu.Lock()
	a.listener = nil
	a.mu.Unlock()
	close(listener.closed)
}

const (
	// maxEmptied bounds the connections that are taken from the accept queue when the router
	// drains, as new ones may come as fast as they are taken. It is the usual maximum length of
	// the queue.
	maxEmptied = 4096
	// maxEmptiedStalled bounds them while requests in progress are stalled: these wait meanwhile.
	maxEmptiedStalled = 1024
	// emptiedAtOnce is how many of them are taken before requests in progress get the processor.
	emptiedAtOnce = 128
)

// maxTaken returns how many connections to take from the accept queue. While requests in progress
// are stalled, only those that wait already are taken: in a flood new ones come as fast, and have
// not waited for long when the listener closes.
func (a *acceptor) maxTaken(listener *callerListener) int {
	if a.drain.listenerClosed.Load() {
		return maxEmptied
	}
	waiting := acceptQueueLength(listener)
	if waiting < 0 {
		return maxEmptiedStalled
	}
	return min(waiting, maxEmptiedStalled)
}

// emptyAcceptQueue accepts the connections that wait in the accept queue, the oldest first. It
// returns how many requests were refused.
func (a *acceptor) emptyAcceptQueue(listener *callerListener) int {
	most := a.maxTaken(listener)
	_ = listener.SetDeadline(time.Time{}) // fails if it is closed already
	refused := 0
	for taken := 1; taken <= most && readable(listener); taken++ {
		conn, err := listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // stopAccepting came meanwhile
			_ = listener.SetDeadline(time.Time{}) // fails if it is closed already
			continue
		}
		if err != nil {
			break
		}
		if a.settle(conn) {
			refused++
		}
		if most == maxEmptied && taken%emptiedAtOnce == 0 {
			runtime.Gosched()
		}
	}
	return refused
}

// settle serves a connection that was opened before the listener closes, or refuses the request
// on it. It reports whether it did the latter. While the router drains, a request may still be
// served; else the processor lacks time for more than a refusal.
func (a *acceptor) settle(conn net.Conn) bool {
	if !a.drain.listenerClosed.Load() && a.unread.refuse(conn, overloadRefusal()) {
		return true
	}
	select {
	case a.callers.slots <- struct{}{}:
		a.serveConn(conn)
		return false
	default:
	}
	refusal := overloadRefusal()
	if a.drain.listenerClosed.Load() {
		refusal = drainRefusal()
	}
	if a.unread.refuse(conn, refusal) {
		return true
	}
	a.unanswered.add(causeAcceptQueue, 1)
	_ = conn.Close() // no complete head has arrived
	return false
}

const (
	// minOverloadRetryAfter and maxOverloadRetryAfter bound the Retry-After of requests that are
	// refused unread. Another router can serve them, so the time only keeps the callers that were
	// refused together from coming back together.
	minOverloadRetryAfter = 50 * time.Millisecond
	maxOverloadRetryAfter = 250 * time.Millisecond
)

// overloadRefusal returns the answer to a request that is refused unread for lack of processor
// time.
func overloadRefusal() Refusal {
	retry := minOverloadRetryAfter + rand.N(maxOverloadRetryAfter-minOverloadRetryAfter)
	return Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonOverloaded, RetryAfter: retry}
}

// readable reports whether a connection waits to be accepted.
func readable(listener *callerListener) bool {
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// acceptQueueLength returns how many connections wait to be accepted, -1 if unknown.
func acceptQueueLength(listener *callerListener) int {
	raw, err := listener.SyscallConn()
	if err != nil {
		return -1
	}
	length := -1
	err = raw.Control(func(fd uintptr) {
		if info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			length = int(info.Unacked) // of a listening socket: the length of its queue
		}
	})
	if err != nil {
		return -1
	}
	return length
}
