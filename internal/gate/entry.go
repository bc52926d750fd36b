package gate

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

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
	callers *callerConns
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
	e := &entry{handler: handler, callers: newCallerConns(connections), load: load, drain: drain}
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
			BaseContext: func(net.Listener) context.Context { return e.drain.requests },
			ConnContext: withCallerConn,
			ConnState:   e.noteState,
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
// that waits to be accepted is given up only after a second.
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
		e.callers.places <- struct{}{}
		if e.load.standing() {
			<-e.callers.places
			e.load.shed()
			return
		}
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			<-e.callers.places
			return
		}
		if err != nil {
			<-e.callers.places
			time.Sleep(acceptPause)
			continue
		}
		e.mu.Lock()
		current := e.current
		e.mu.Unlock()
		current.conns.hand(e.callers.add(conn))
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
	places := e.callers.places
	return float64(len(places)) > float64(cap(places))*crowdedShare
}

func (e *entry) stopAccepting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drain.closed.Store(true)
	if e.listener != nil {
		_ = e.listener.Close() // there is no use for it any more
	}
}

const (
	// drainLook is the pause between two looks at whether requests are in progress.
	drainLook = 10 * time.Millisecond
	// drainQuiet is how long none must be until draining ends before its time. A request
	// may be on its way on a connection that was accepted just before the listener closed.
	drainQuiet = 50 * time.Millisecond
	// answerTime is how long requests that are ended have for their final answers.
	answerTime = 150 * time.Millisecond
)

// finish waits until no request is in progress or the context ends, ends what is left, and
// closes all connections. It returns how many requests were left.
//
// The servers are not shut down: they would read a request, drop it and close its connection.
func (e *entry) finish(ctx context.Context) int {
	left := e.awaitQuiet(ctx)
	e.drain.end()
	e.awaitClosed()
	for _, server := range e.servers() {
		_ = server.Close() // only connections of stalled callers are left
	}
	return left
}

// servers returns those of all limits that were in force since the start.
func (e *entry) servers() []*http.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return lo.Map(e.all, func(g *generation, _ int) *http.Server { return g.server })
}

// awaitQuiet waits until no request has been in progress for a moment or the context ends.
// It closes idle connections meanwhile, and returns how many requests are in progress then.
func (e *entry) awaitQuiet(ctx context.Context) int {
	quiet := time.Duration(0)
	for quiet < drainQuiet {
		e.callers.closeIdle()
		select {
		case <-ctx.Done():
			return e.callers.count(connServing)
		case <-time.After(drainLook):
		}
		quiet += drainLook
		if e.callers.busy() {
			quiet = 0
		}
	}
	return 0
}

// awaitClosed closes each connection once no request is being read or served on it. It
// returns when all are closed, or after answerTime.
func (e *entry) awaitClosed() {
	for ends := boottime.Now().Add(answerTime); boottime.Now() < ends; time.Sleep(drainLook) {
		if e.callers.closeQuiet() == 0 {
			return
		}
	}
}

// noteState follows a server's state of a connection. One that gets idle late in draining
// may have had no answer that told its end.
func (e *entry) noteState(conn net.Conn, state http.ConnState) {
	if caller, ok := conn.(*callerConn); ok {
		caller.follow(state)
	}
	if state == http.StateIdle && e.drain.closed.Load() {
		_ = conn.Close() // its caller may have closed it
	}
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
