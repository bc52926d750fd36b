package engine

import (
	"net"
	"sync"
	"time"
)

// crashListener tracks open connections, so that a simulated crash can close
// them all, and rejects new ones while the engine is down.
type crashListener struct {
	net.Listener
	mu        sync.Mutex
	open      map[net.Conn]struct{}
	downUntil time.Time
	crashes   int
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

// crash rejects new connections until the time given. Open connections count as
// older than the crash from now on.
func (l *crashListener) crash(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downUntil = until
	l.crashes++
}

// predatesCrash reports whether the connection was accepted before a crash.
func (l *crashListener) predatesCrash(conn net.Conn) bool {
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

// trackedConn removes itself from the listener's set when it is closed.
type trackedConn struct {
	net.Conn
	listener *crashListener
	crashes  int // of the listener when the connection was accepted
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// crash calls OnCrash or else simulates a crash: all runs, streams and the cache
// are lost, but the ledger remains for the test.
func (e *Engine) crash() {
	if e.config.OnCrash != nil {
		e.config.OnCrash()
		return
	}
	e.dropRuns()
	// Runs end before connections close, because callers may read the ledger as
	// soon as their connection closes.
	e.listener.closeOpen()
}

// dropRuns ends all runs. Requests on connections from before the crash can't
// start new ones.
func (e *Engine) dropRuns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.crash(time.Now().Add(e.config.Downtime))
	e.stopLocked(RunCrashed)
	clear(e.streams)
	clear(e.finished)
	e.cache = newPrefixCache(e.config.CacheTokens)
}
