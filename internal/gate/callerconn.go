package gate

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"golang.org/x/sys/unix"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
)

// callerConns are the open connections of callers. Its methods may be called concurrently.
type callerConns struct {
	slots      chan struct{}  // holds a token for each open connection
	unanswered *unansweredLog // nil for none
	// refuseUnread refuses the request that has arrived on a connection and closes that. It
	// returns false, and closes nothing, if it does not. It is nil for none.
	refuseUnread func(net.Conn) bool

	mu   sync.Mutex
	open map[*callerConn]bool
}

func newCallerConns(limit int) *callerConns {
	return &callerConns{slots: make(chan struct{}, limit), open: make(map[*callerConn]bool)}
}

// freeSlot frees a slot that was taken for a connection.
func (c *callerConns) freeSlot() { <-c.slots }

// add adds a connection for which a slot has been taken. The connection frees the slot when
// it is closed.
func (c *callerConns) add(conn net.Conn) *callerConn {
	added := &callerConn{Conn: conn, conns: c, opened: boottime.Now(), unanswered: c.unanswered}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[added] = true
	return added
}

// remove removes a closed connection and frees its slot. It may be called repeatedly.
func (c *callerConns) remove(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[conn] {
		delete(c.open, conn)
		c.freeSlot()
	}
}

// refuse calls refuseUnread, if there is one.
func (c *callerConns) refuse(conn net.Conn) bool {
	return c != nil && c.refuseUnread != nil && c.refuseUnread(conn)
}

// all returns the open connections.
func (c *callerConns) all() []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*callerConn, 0, len(c.open))
	for conn := range c.open {
		all = append(all, conn)
	}
	return all
}

// count returns how many connections are in one of the states.
func (c *callerConns) count(states ...connState) int {
	return lo.CountBy(c.all(), func(conn *callerConn) bool { return conn.inState(states...) })
}

// busy reports whether a request is being read or served.
func (c *callerConns) busy() bool { return c.count(connReading, connServing) > 0 }

// closeIdle closes the connections that have answered a request and wait for the next.
func (c *callerConns) closeIdle() {
	for _, conn := range c.all() {
		conn.closeIf(connIdle)
	}
}

// closeWaiting closes the connections that wait for a request, including those that have
// not had one yet. It returns how many were open.
func (c *callerConns) closeWaiting() int {
	all := c.all()
	for _, conn := range all {
		conn.closeIf(connIdle, connNew)
	}
	return len(all)
}

// connState is the state of a connection with regard to its requests.
type connState int

const (
	connNew     connState = iota // nothing has been read
	connReading                  // the first bytes of a request have been read
	connServing                  // the header has been read completely
	connIdle                     // the request has been answered
)

// String returns the name of the state in log entries.
func (s connState) String() string {
	return [...]string{connNew: "new", connReading: "reading", connServing: "serving", connIdle: "idle"}[s]
}

// callerConn is a caller's connection. It tracks its state itself: that of net/http stays
// idle until the header of a request has been read and parsed completely, which takes long
// on a busy processor.
type callerConn struct {
	net.Conn
	conns    *callerConns
	opened   boottime.Instant
	requests atomic.Int64 // requests served
	closed   atomic.Bool  // Close has been called

	unanswered *unansweredLog // nil for none

	mu       sync.Mutex
	state    connState
	extended bool      // the read deadline was extended for the next request
	deadline time.Time // read deadline of the server, zero for none
	writeEnd time.Time // write deadline of the server, zero for none
	closing  bool      // closeIf has replaced it by one that has passed
}

const (
	// lateReadTime is the time for which a read deadline is extended.
	lateReadTime = 500 * time.Millisecond
	// lateWriteTime is the least time that a write has, whatever its deadline.
	lateWriteTime = writeSlack
)

// Read implements net.Conn. If its deadline has passed while bytes of a request were
// waiting, it reads them: a read that returns after the process was stalled reports the
// deadline first, and the server would reset the connection of a request that had arrived
// in time.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.extendReadDeadline() {
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.markReading()
	}
	return n, err
}

// extendReadDeadline extends the read deadline, once for each request, if bytes of the
// header are waiting. During a request, net/http lets deadlines pass to end its reads.
func (c *callerConn) extendReadDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.extended || c.state == connServing || !c.unread() {
		return false
	}
	c.extended = true
	return c.Conn.SetReadDeadline(time.Now().Add(lateReadTime)) == nil
}

// markReading records that bytes have been read. If the connection was about to be closed, it
// stays open: the deadline that was to close it would cancel the request.
func (c *callerConn) markReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connNew || c.state == connIdle {
		c.state = connReading
	}
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(c.deadline) // fails if it is closed already
	}
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.closing = deadline, false
	return c.Conn.SetReadDeadline(deadline)
}

// SetWriteDeadline implements net.Conn.
func (c *callerConn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeEnd = deadline
	return c.Conn.SetWriteDeadline(deadline)
}

// Write implements net.Conn. The deadline bounds the time for which a caller does not read. If it
// passes before the answer is ready, as in a stall of the process, the answer is still written.
func (c *callerConn) Write(b []byte) (int, error) {
	c.extendWriteDeadline()
	return c.Conn.Write(b)
}

// extendWriteDeadline extends the write deadline, if there is one, to lateWriteTime from now.
func (c *callerConn) extendWriteDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	extended := time.Now().Add(lateWriteTime)
	if !c.writeEnd.IsZero() && c.writeEnd.Before(extended) {
		_ = c.Conn.SetWriteDeadline(extended) // the write fails if the connection is closed
	}
}

// Close implements net.Conn. A request that has arrived after the server decided to close the
// connection is refused.
func (c *callerConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed // it may still linger
	}
	if c.conns != nil {
		defer c.conns.remove(c)
	}
	if !c.unread() {
		return c.Conn.Close()
	}
	if c.inState(connNew, connIdle) && c.conns.refuse(c.Conn) {
		return nil
	}
	c.unanswered.closedUnread(c)
	return c.Conn.Close()
}

func (c *callerConn) currentState() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *callerConn) inState(states ...connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(states, c.state)
}

// closeIf lets the server close the connection if it is in one of the states and has no
// unread bytes: on a busy processor a request may be waiting there. It sets the read
// deadline, which does not take back bytes that a read has already got, so that no request
// is read and then dropped; a request that begins meanwhile gets the server's deadline back.
// The server may replace the deadline by its own, so the call has to be repeated.
func (c *callerConn) closeIf(states ...connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(states, c.state) && !c.unread() {
		c.closing = c.Conn.SetReadDeadline(pastDeadline) == nil
	}
}

// pastDeadline is a deadline that has already passed.
var pastDeadline = time.Unix(1, 0)

// unread reports whether bytes have arrived that were not read yet.
func (c *callerConn) unread() bool {
	n, err := c.peek()
	return err == nil && n > 0
}

// peek returns how many bytes, at most one, can be read now. It returns 0 when the caller
// has closed the connection, and an error when there is nothing to read.
func (c *callerConn) peek() (int, error) {
	var one [1]byte
	return receive(c, one[:], unix.MSG_PEEK)
}

// setState follows the state that net/http reports.
func (c *callerConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.state = connServing
		c.extended = false
		c.requests.Add(1)
	case http.StateIdle:
		c.state = connIdle
	}
}

// setResetOnClose sets whether the end of the connection, also by the end of the process, is
// a reset.
func (c *callerConn) setResetOnClose(reset bool) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	seconds := -1 // the default of the system
	if reset {
		seconds = 0
	}
	_ = tcp.SetLinger(seconds) // fails only if the connection is closed already
}

// recordPanics returns a handler that records panics of the given one. net/http closes the
// connection of a handler that panics; http.ErrAbortHandler is a panic on purpose.
func recordPanics(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			reason := recover()
			if reason == nil {
				return
			}
			if conn := callerConnOf(r.Context()); conn != nil && reason != http.ErrAbortHandler {
				conn.unanswered.panicked(reason)
			}
			panic(reason)
		}()
		handler.ServeHTTP(w, r)
	})
}

// resetUnfinished returns a handler that resets the connection of a caller without chunks
// (HTTP/1.0) if its answer is not written to the end. Such an answer may end with its
// connection, and one that is closed early would look complete.
func resetUnfinished(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := callerConnOf(r.Context())
		if r.ProtoAtLeast(1, 1) || conn == nil {
			handler.ServeHTTP(w, r)
			return
		}
		conn.setResetOnClose(true)
		handler.ServeHTTP(w, r) // panics if it aborts the answer
		if http.NewResponseController(w).Flush() == nil {
			conn.setResetOnClose(false)
		}
	})
}

// errNoSyscallConn is returned for a connection that is no socket.
var errNoSyscallConn = errors.New("connection does not implement syscall.Conn")

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSyscallConn
	}
	return conn.SyscallConn()
}

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// withCallerConn stores the connection in the context of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerConnOf returns the connection of a request, or nil if there is none.
func callerConnOf(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return conn
}

// callerCanceled reports whether net/http has noticed that the caller closed its
// connection.
func callerCanceled(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !cancelledByDrain(ctx)
}

// callerDisconnected reports whether the caller has closed its connection. It looks at the
// socket, since on a busy processor net/http notices much later and the request would be
// forwarded in vain. A caller whose time limit has passed is still connected and gets an
// answer.
func callerDisconnected(ctx context.Context) bool {
	if callerCanceled(ctx) {
		return true
	}
	conn := callerConnOf(ctx)
	if conn == nil {
		return false
	}
	return !conn.connected()
}

// connected reports whether the caller has not closed the connection.
func (c *callerConn) connected() bool {
	n, err := c.peek()
	if err != nil {
		return errors.Is(err, unix.EAGAIN)
	}
	return n > 0
}
