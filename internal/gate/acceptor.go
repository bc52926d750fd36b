package gate

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// defaultLimits apply until the first configuration has been received. They may be more
// permissive than the configured ones, as no request is forwarded before that.
var defaultLimits = knowledge.Limits{
	HeaderBytes:   64 << 10,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   30 * time.Second,
}

// acceptRetryInterval is the pause after a failed accept, usually for lack of file
// descriptors.
const acceptRetryInterval = 20 * time.Millisecond

// cpuMonitor reports whether the router's processor can serve more callers.
type cpuMonitor interface {
	// stalled reports whether requests in progress wait too long for the processor.
	stalled() bool
	// recordShedding records that connections are refused because of the load.
	recordShedding()
	// recovered reports whether requests get the processor without delay again.
	recovered() bool
	// recordRecovery records that connections are accepted again, and for how long they
	// were refused.
	recordRecovery(refusedFor time.Duration)
}

// acceptor accepts callers' connections. Each connection keeps the limits that were in
// force when it was opened.
type acceptor struct {
	handler http.Handler
	callers *callerConns
	cpu     cpuMonitor

	mu       sync.Mutex
	listener *callerListener // nil while the router does not listen
	current  *limitedServer
	servers  []*limitedServer

	unread *unreadRequests

	drain      *drainState
	unanswered *unansweredLog // nil for none
}

// limitedServer is an HTTP server with the limits of one configuration.
type limitedServer struct {
	limits knowledge.Limits
	server *http.Server
	conns  *chanListener
}

func newAcceptor(handler http.Handler, connections int, cpu cpuMonitor, drain *drainState) *acceptor {
	a := &acceptor{handler: handler, callers: newCallerConns(connections), cpu: cpu, drain: drain, unread: newUnreadRequests()}
	a.callers.refuseUnread = func(conn net.Conn) bool {
		return drain.draining() && a.unread.refuse(conn, drainRefusal())
	}
	a.applyLimits(defaultLimits)
	return a
}

// record makes the acceptor record connections that end without an answer.
func (a *acceptor) record(unanswered *unansweredLog) {
	a.unanswered, a.callers.unanswered = unanswered, unanswered
}

// applyLimits sets the limits of connections opened from now on.
func (a *acceptor) applyLimits(limits knowledge.Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && sameConnectionLimits(a.current.limits, limits) {
		return
	}
	next := &limitedServer{
		limits: limits,
		conns:  newChanListener(),
		server: &http.Server{
			Handler:           recordPanics(resetUnfinished(a.handler)),
			MaxHeaderBytes:    limits.HeaderBytes,
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
			// Errors caused by callers would flood the log.
			ErrorLog:    log.New(io.Discard, "", 0),
			BaseContext: func(net.Listener) context.Context { return a.drain.requests },
			ConnContext: withCallerConn,
			ConnState:   connStateChanged,
			// OPTIONS * is handled like any other request.
			DisableGeneralOptionsHandler: true,
		},
	}
	a.current = next
	a.servers = append(a.servers, next)
	go func() { _ = next.server.Serve(next.conns) }() // ends with the listener only
}

func sameConnectionLimits(a, b knowledge.Limits) bool {
	return a.HeaderBytes == b.HeaderBytes && a.HeaderTimeout == b.HeaderTimeout && a.IdleTimeout == b.IdleTimeout
}

// run accepts connections at the address until the context ends or draining closes the
// listener.
//
// While requests in progress are stalled, it closes the listener. To refuse a request, the
// router must accept its connection and read it; with too many callers, a small VM does
// nothing else, and no request in progress is completed. With the listener closed, the
// kernel resets new connections at no cost, and their callers try another router
// immediately. A caller whose connection waits to be accepted gives up only after a second.
func (a *acceptor) run(ctx context.Context, address fleet.Address) error {
	if a.stopped(ctx) {
		return nil
	}
	listener, err := a.listen(ctx, address)
	if err != nil {
		return fleet.Wrap(err, fleet.StepAccept, address)
	}
	for listener != nil {
		a.accept(ctx, listener)
		a.closeListener(listener)
		closedAt := boottime.Now()
		listener = a.listenAgain(ctx, address)
		if listener != nil {
			a.cpu.recordRecovery(boottime.Now().Sub(closedAt))
		}
	}
	return nil
}

// stopped reports whether no connections are accepted any more.
func (a *acceptor) stopped(ctx context.Context) bool {
	return ctx.Err() != nil || a.drain.listenerClosed.Load()
}

// listenAgain opens the listener again once requests get the processor without delay. It returns
// nil if the router stops meanwhile. A failure must not end the router, as requests are in
// progress; the cause, such as a lack of descriptors, may pass.
func (a *acceptor) listenAgain(ctx context.Context, address fleet.Address) *callerListener {
	for a.awaitRecovery(ctx) {
		listener, err := a.listen(ctx, address)
		if err == nil {
			return listener
		}
		a.unanswered.notListening(fleet.Wrap(err, fleet.StepAccept, address))
		time.Sleep(acceptRetryInterval)
	}
	return nil
}

// callerListener is the listener for callers.
type callerListener struct {
	*net.TCPListener
	stopOnce sync.Once
	stopped  chan struct{} // closed when the listener is to be closed
	closed   chan struct{} // closed when it is, with its accept queue
}

// stop ends accepting, at once where Accept has been called.
func (l *callerListener) stop() {
	l.stopOnce.Do(func() {
		close(l.stopped)
		_ = l.SetDeadline(pastDeadline) // fails if it is closed already
	})
}

// listen opens the listener and stores it for stopAccepting.
func (a *acceptor) listen(ctx context.Context, address fleet.Address) (*callerListener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: callerKeepAlive, Interval: callerKeepAlive, Count: 2}}
	opened, err := config.Listen(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	listener := &callerListener{TCPListener: opened.(*net.TCPListener), stopped: make(chan struct{}), closed: make(chan struct{})}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listener = listener
	if a.drain.listenerClosed.Load() {
		listener.stop() // stopAccepting came first
	}
	return listener, nil
}

// accept accepts connections until draining stops it, the context ends or requests in progress
// are stalled.
func (a *acceptor) accept(ctx context.Context, listener *callerListener) {
	stop := context.AfterFunc(ctx, a.stopAccepting)
	defer stop()
	for a.takeSlot(listener) {
		if a.cpu.stalled() {
			a.callers.freeSlot()
			a.cpu.recordShedding()
			return
		}
		conn, err := listener.Accept()
		if err == nil {
			a.serveConn(conn)
			continue
		}
		a.callers.freeSlot()
		if !errors.Is(err, os.ErrDeadlineExceeded) { // of stopAccepting
			time.Sleep(acceptRetryInterval)
		}
	}
}

// takeSlot waits until another connection may be open, and returns false if the listener is to
// be closed.
func (a *acceptor) takeSlot(listener *callerListener) bool {
	select {
	case <-listener.stopped:
		return false
	default:
	}
	select {
	case <-listener.stopped:
		return false
	case a.callers.slots <- struct{}{}:
		return true
	}
}

// serveConn passes a connection, for which a slot has been taken, to the server with the current
// limits.
func (a *acceptor) serveConn(conn net.Conn) {
	a.mu.Lock()
	current := a.current
	a.mu.Unlock()
	current.conns.pass(a.callers.add(conn))
}

// recoveryPollInterval is the interval at which awaitRecovery checks the processor.
const recoveryPollInterval = 5 * time.Millisecond

// awaitRecovery waits until requests get the processor without delay. It returns false if
// the listener is closed meanwhile.
func (a *acceptor) awaitRecovery(ctx context.Context) bool {
	for !a.cpu.recovered() {
		if a.stopped(ctx) {
			return false
		}
		time.Sleep(recoveryPollInterval)
	}
	return !a.stopped(ctx)
}

// callerKeepAlive is the TCP keep-alive interval. It finds callers that vanished without
// closing their connections.
const callerKeepAlive = 5 * time.Second

// keepAliveShare is the fraction of the maximum number of connections above which each
// connection is closed after its next answer.
const keepAliveShare = 0.4

// closeAfterAnswer reports whether connections are to be closed after their next answer.
func (a *acceptor) closeAfterAnswer() bool { return a.drain.draining() || a.nearConnectionLimit() }

// nearConnectionLimit reports whether callers hold so many connections open that the rest
// may not suffice. Callers that retry after a refusal open a new connection each time and
// leave it open. Once no more can be accepted, requests wait a second for their connection
// and are read after their callers have disconnected.
func (a *acceptor) nearConnectionLimit() bool {
	slots := a.callers.slots
	return float64(len(slots)) > float64(cap(slots))*keepAliveShare
}

// stopAccepting closes the listener permanently, and returns when it is closed. Connections that
// callers have opened stay, or get a refusal.
func (a *acceptor) stopAccepting() {
	a.mu.Lock()
	listener := a.listener
	a.drain.listenerClosed.Store(true)
	a.mu.Unlock()
	if listener != nil {
		listener.stop()
		<-listener.closed
	}
}

const (
	// drainPollInterval is the interval at which draining checks for requests in progress.
	drainPollInterval = 10 * time.Millisecond
	// drainQuietPeriod is how long no request must be in progress for draining to end
	// early. A request may be on its way on a connection that was accepted just before the
	// listener closed.
	drainQuietPeriod = 50 * time.Millisecond
	// finalAnswerTimeout is how long cancelled requests have for their final answers once the
	// time to drain is over. The rest of shutdownMargin is for the end of the process.
	finalAnswerTimeout = shutdownMargin - 200*time.Millisecond
	// finalPasses is how often closeConnections looks again after finalAnswerTimeout. If a stall of
	// the process has used that up, answers are ready that could not be written yet.
	finalPasses = 3
)

// finish waits until no request is in progress or the context ends, cancels the remaining
// requests, and closes all connections. It returns how many requests were cancelled.
//
// It does not call Shutdown on the servers: that could read a request, drop it and close
// its connection.
func (a *acceptor) finish(ctx context.Context) int {
	remaining := a.awaitIdle(ctx)
	a.end(ctx)
	return remaining
}

// end cancels the requests in progress, and closes all connections when these are answered.
func (a *acceptor) end(ctx context.Context) {
	a.drain.end()
	a.closeConnections(ctx)
	a.unanswered.drainEnded(a.callers.count(connReading), a.callers.count(connServing))
	for _, server := range a.httpServers() {
		_ = server.Close() // only connections of stalled callers are left
	}
}

// httpServers returns the servers of all limits since the start.
func (a *acceptor) httpServers() []*http.Server {
	a.mu.Lock()
	defer a.mu.Unlock()
	return lo.Map(a.servers, func(s *limitedServer, _ int) *http.Server { return s.server })
}

// awaitIdle waits until no request has been in progress for drainQuietPeriod or the context
// ends. It closes idle connections meanwhile, and returns how many requests are still in
// progress.
func (a *acceptor) awaitIdle(ctx context.Context) int {
	quietFor := time.Duration(0)
	for quietFor < drainQuietPeriod {
		a.callers.closeIdle()
		select {
		case <-ctx.Done():
			return a.callers.count(connServing)
		case <-time.After(drainPollInterval):
		}
		quietFor += drainPollInterval
		if a.callers.busy() {
			quietFor = 0
		}
	}
	return 0
}

// closeConnections closes each connection once no request is being read or served on it. It
// returns when all are closed, or finalAnswerTimeout and finalPasses after the end of the context.
func (a *acceptor) closeConnections(ctx context.Context) {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(finalAnswerTimeout, func() { close(ended) }) })
	defer stop()
	for a.callers.closeWaiting() > 0 {
		select {
		case <-ended:
			a.closeLast()
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// closeLast is the end of closeConnections once its time is over. It counts passes, as in a stall
// of the process the clock goes on while no answer can be written.
func (a *acceptor) closeLast() {
	for range finalPasses {
		time.Sleep(drainPollInterval)
		if a.callers.closeWaiting() == 0 {
			return
		}
	}
}

// connStateChanged is the servers' ConnState hook. It closes no connections that become idle while
// the router drains: the next request may have arrived. awaitIdle closes those on which nothing
// has.
func connStateChanged(conn net.Conn, state http.ConnState) {
	if caller, ok := conn.(*callerConn); ok {
		caller.setState(state)
	}
}

// chanListener is a net.Listener whose connections are passed to it.
type chanListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newChanListener() *chanListener {
	return &chanListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// pass passes a connection to the server that accepts from the listener.
func (l *chanListener) pass(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.closed:
		_ = conn.Close() // no server will serve it
	}
}

// Accept implements net.Listener.
func (l *chanListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *chanListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *chanListener) Addr() net.Addr { return &net.TCPAddr{} }
