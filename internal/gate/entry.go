package gate

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// defaultLimits hold until the first configuration is known. They are generous
// in what callers may send and how long they may stay idle, as nothing is
// served yet.
var defaultLimits = knowledge.Limits{
	HeaderBytes:   64 << 10,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   30 * time.Second,
}

// acceptPause is the pause after a failed accept, mostly for want of
// descriptors.
const acceptPause = 20 * time.Millisecond

// processor tells whether the router's processor bears more callers.
type processor interface {
	// standing tells whether requests in hand do not get on.
	standing() bool
	// shed notes that callers are turned away for it.
	shed()
	// relieved tells whether requests get on without a wait again.
	relieved() bool
	// relief notes for how long callers were turned away.
	relief(turnedAway time.Duration)
}

// entry accepts callers' connections. Each connection keeps the limits that
// were in force when it was opened.
type entry struct {
	handler http.Handler
	open    chan struct{} // holds a token for each open connection
	load    processor

	mu       sync.Mutex
	listener net.Listener
	current  *generation
	all      []*generation

	drain *drainState
}

// generation is a server with the limits of one configuration.
type generation struct {
	limits knowledge.Limits
	server *http.Server
	conns  *handedListener
}

func newEntry(handler http.Handler, connections int, load processor, drain *drainState) *entry {
	e := &entry{handler: handler, open: make(chan struct{}, connections), load: load, drain: drain}
	e.apply(defaultLimits)
	return e
}

// apply serves connections opened from now on within the limits.
func (e *entry) apply(limits knowledge.Limits) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil && sameEntryLimits(e.current.limits, limits) {
		return
	}
	next := &generation{
		limits: limits,
		conns:  newHandedListener(),
		server: &http.Server{
			Handler:           e.handler,
			MaxHeaderBytes:    limits.HeaderBytes,
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
			// What callers send wrong is their matter and would flood the log.
			ErrorLog:    log.New(io.Discard, "", 0),
			ConnContext: withCallerConn,
			// OPTIONS * is a request like any other.
			DisableGeneralOptionsHandler: true,
		},
	}
	e.current = next
	e.all = append(e.all, next)
	go func() { _ = next.server.Serve(next.conns) }() // ends with the listener only
}

func sameEntryLimits(a, b knowledge.Limits) bool {
	return a.HeaderBytes == b.HeaderBytes && a.HeaderTimeout == b.HeaderTimeout && a.IdleTimeout == b.IdleTimeout
}

// run accepts connections at the address until the context ends or the entry
// is closed.
//
// While requests in hand do not get on, nothing listens there. A refusal with its
// connection costs a small VM so much that more callers than it can refuse bring
// everything to a standstill for as long as they come. A connection that is reset
// by the kernel costs it nothing, and its caller tries another router at once; one
// that waits to be accepted is given up only after a second. Requests in time
// while one account's flood comes to three small VMs of 68: 25,354 with waiting,
// 28,320 with resets.
func (e *entry) run(ctx context.Context, address fleet.Address) error {
	for ctx.Err() == nil && !e.drain.closed.Load() {
		listener, err := e.listen(ctx, address)
		if err != nil {
			return fleet.Wrap(err, fleet.StepAccept, address)
		}
		e.accept(ctx, listener)
		_ = listener.Close() // it may be closed already
		shut := boottime.Now()
		if e.awaitRelief(ctx) {
			e.load.relief(boottime.Now().Sub(shut))
		}
	}
	return nil
}

func (e *entry) listen(ctx context.Context, address fleet.Address) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: callerKeepAlive, Interval: callerKeepAlive, Count: 2}}
	listener, err := config.Listen(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener = listener
	if e.drain.closed.Load() {
		_ = listener.Close() // stopAccepting came first
	}
	return listener, nil
}

// accept accepts connections until the listener is closed, the context ends or
// requests in hand do not get on.
func (e *entry) accept(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, e.stopAccepting)
	defer stop()
	for {
		e.open <- struct{}{}
		if e.load.standing() {
			<-e.open
			e.load.shed()
			return
		}
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			<-e.open
			return
		}
		if err != nil {
			<-e.open
			time.Sleep(acceptPause)
			continue
		}
		e.mu.Lock()
		current := e.current
		e.mu.Unlock()
		current.conns.hand(&countedConn{Conn: conn, open: e.open})
	}
}

// reliefPause is the pause between two looks at whether requests get on.
const reliefPause = 5 * time.Millisecond

// awaitRelief waits until requests in hand get on without a wait. It returns false
// when the entry is closed.
func (e *entry) awaitRelief(ctx context.Context) bool {
	for !e.load.relieved() {
		if ctx.Err() != nil || e.drain.closed.Load() {
			return false
		}
		time.Sleep(reliefPause)
	}
	return ctx.Err() == nil && !e.drain.closed.Load()
}

// callerKeepAlive finds callers that vanished without closing.
const callerKeepAlive = 5 * time.Second

// crowdedShare is the part of the connections from which each is closed after
// its next answer.
const crowdedShare = 0.4

// closing tells whether a connection is to be closed after its answer.
func (e *entry) closing() bool { return e.drain.draining() || e.crowded() }

// crowded tells whether callers hold so many connections open that the rest
// may not suffice. Callers that come back after a refusal open a new connection
// each time and leave it open; once none can be accepted any more, requests
// wait a second for their connection and are read after their callers left.
func (e *entry) crowded() bool {
	return float64(len(e.open)) > float64(cap(e.open))*crowdedShare
}

// beginDrain lets each connection end with its next answer. Idle ones stay open
// until the end: closing them now would cut a request whose head has been read
// and that the server does not count as begun yet, with a busy processor one in
// several hundred.
func (e *entry) beginDrain() { e.drain.begin(boottime.Now()) }

func (e *entry) stopAccepting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drain.closed.Store(true)
	if e.listener != nil {
		_ = e.listener.Close() // there is no use for it any more
	}
}

// finish waits until no request is left or the context ends, and closes what
// is left then, after a call of cutting.
func (e *entry) finish(ctx context.Context, cutting func()) error {
	e.mu.Lock()
	all := e.all
	e.mu.Unlock()
	var left error
	for _, generation := range all {
		if err := generation.server.Shutdown(ctx); err != nil {
			if left == nil {
				cutting()
			}
			left = errors.Wrap(err, "requests in progress were cut")
			_ = generation.server.Close() // closes what is left
		}
	}
	return left
}

// countedConn gives its place back when it is closed.
type countedConn struct {
	net.Conn
	open chan struct{}
	once sync.Once
}

// SyscallConn implements syscall.Conn.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("no connection of the system's")
	}
	return conn.SyscallConn()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { <-c.open })
	return c.Conn.Close()
}

// handedListener is a net.Listener whose connections are handed to it.
type handedListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newHandedListener() *handedListener {
	return &handedListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// hand gives a connection to the server that accepts from the listener.
func (l *handedListener) hand(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.closed:
		_ = conn.Close() // nobody serves it
	}
}

// Accept implements net.Listener.
func (l *handedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *handedListener) Addr() net.Addr { return &net.TCPAddr{} }
