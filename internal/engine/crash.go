package engine

import (
	"net"
	"sync"
	"time"
)

// crashListener tracks open connections so that a simulated crash can close
// them all, and refuses new ones while the engine is down.
type crashListener struct {
	net.Listener
	mu        sync.Mutex
	open      map[net.Conn]struct{}
	downUntil time.Time
	crashes   int // so far
}

// Accept implements net.Listener.
func (l *crashListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked, ok := l.track(conn); ok {
			return tracked, nil
		}
		_ = conn.Close()
	}
}

// track registers a connection, unless the engine is down.
func (l *crashListener) track(conn net.Conn) (net.Conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.downUntil) {
		return nil, false
	}
	tracked := &trackedConn{Conn: conn, listener: l, crashes: l.crashes}
	l.open[tracked] = struct{}{}
	return tracked, true
}

// crash refuses new connections until a time. The open ones are lost from now on.
func (l *crashListener) crash(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downUntil = until
	l.crashes++
}

// lost tells whether the connection is from before a crash.
func (l *crashListener) lost(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked, ok := conn.(*trackedConn)
	return ok && tracked.crashes < l.crashes
}

// closeOpen closes every open connection.
func (l *crashListener) closeOpen() {
	l.mu.Lock()
	open := make([]net.Conn, 0, len(l.open))
	for conn := range l.open {
		open = append(open, conn)
	}
	l.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

// trackedConn leaves the listener's set when it is closed.
type trackedConn struct {
	net.Conn
	listener *crashListener
	crashes  int // of the listener when it was accepted
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// crash brings the engine down: through OnCrash, or as a simulation that loses
// all runs, streams and the cache, and keeps the ledger for the test.
func (e *Engine) crash() {
	if e.config.OnCrash != nil {
		e.config.OnCrash()
		return
	}
	e.loseRuns()
	// Callers may look into the ledger as soon as their connections close.
	e.listener.closeOpen()
}

// loseRuns ends all runs. A request of a connection from before can't begin another.
func (e *Engine) loseRuns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.crash(time.Now().Add(e.config.Downtime))
	e.stopLocked(RunCrashed)
	clear(e.streams)
	clear(e.finished)
	e.cache = newPrefixCache(e.config.CacheTokens)
}
