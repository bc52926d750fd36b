// Package testrelay is a TCP proxy for tests that injects network faults. It can
// delay data, hold it back, forward it in small chunks, reset connections, or
// blackhole them: a blackholed connection stays open but carries no more data,
// as after a network has dropped its state.
package testrelay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

const (
	// bufferSize is the maximum number of bytes forwarded at a time.
	bufferSize = 4096
	// holdPollInterval is the time between checks whether data is still held back.
	holdPollInterval = 5 * time.Millisecond
	// trickleInterval is the time between chunks limited by Faults.TrickleBytes.
	trickleInterval = 10 * time.Millisecond
)

// Config sets a relay's addresses and limit.
type Config struct {
	Listen fleet.Address // a free port of 127.0.0.1 if empty
	Target fleet.Address
	// BlackholeAfter, if not zero, blackholes the first connection whose answers
	// exceed that many bytes, and no other.
	BlackholeAfter int
}

// Faults are injected into all connections while set. They lose no data.
type Faults struct {
	Delay          time.Duration // before each chunk of data and each close
	HoldToTarget   bool          // hold back data to the target
	HoldFromTarget bool          // hold back data from the target
	TrickleBytes   int           // maximum chunk size, 0 for no limit
}

// Relay forwards connections to a target. Blackhole and Reset don't affect
// connections accepted later.
type Relay struct {
	config       Config
	listener     net.Listener
	limitReached chan struct{} // closed when BlackholeAfter has taken effect
	limitOnce    sync.Once
	dropped      atomic.Int64
	faults       atomic.Pointer[Faults]

	mu          sync.Mutex
	connections map[*connection]bool // open connections
	accepted    int
}

// connection is a forwarded connection.
type connection struct {
	relay          *Relay
	client, target net.Conn // the relay's sockets to either side
	blackholed     atomic.Bool
}

// Start starts a relay that runs until the test ends.
func Start(t testing.TB, config Config) *Relay {
	t.Helper()
	if config.Listen == "" {
		config.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", string(config.Listen))
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{config: config, listener: listener, limitReached: make(chan struct{}), connections: make(map[*connection]bool)}
	r.SetFaults(Faults{})
	go r.acceptLoop()
	t.Cleanup(r.Close)
	return r
}

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.SetFaults(Faults{}) // goroutines that hold data back would not end
	r.Reset()
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() fleet.Address { return fleet.Address(r.listener.Addr().String()) }

// LimitReached returns a channel that is closed once Config.BlackholeAfter has
// blackholed a connection.
func (r *Relay) LimitReached() <-chan struct{} { return r.limitReached }

// DroppedBytes returns the number of answer bytes that blackholed connections
// discarded.
func (r *Relay) DroppedBytes() int64 { return r.dropped.Load() }

// Connections returns the number of connections accepted so far.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// SetFaults replaces the faults for all connections.
func (r *Relay) SetFaults(faults Faults) { r.faults.Store(&faults) }

// Blackhole blackholes all open connections.
func (r *Relay) Blackhole() {
	for _, c := range r.open() {
		c.blackholed.Store(true)
	}
}

// Reset resets all open connections on both sides.
func (r *Relay) Reset() {
	for _, c := range r.open() {
		reset(c.client)
		reset(c.target)
	}
}

func (r *Relay) open() []*connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := make([]*connection, 0, len(r.connections))
	for c := range r.connections {
		open = append(open, c)
	}
	return open
}

func (r *Relay) acceptLoop() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(client)
	}
}

func (r *Relay) connect(client net.Conn) {
	target, err := net.Dial("tcp", string(r.config.Target))
	if err != nil {
		reset(client)
		return
	}
	c := &connection{relay: r, client: client, target: target}
	r.mu.Lock()
	r.accepted++
	r.connections[c] = true
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(client, target, func(data []byte) []byte { return data }, func(int) {}) })
	directions.Go(func() { c.forward(target, client, r.blackholeFilter(c), func(lost int) { r.dropped.Add(int64(lost)) }) })
	directions.Wait()
	r.mu.Lock()
	delete(r.connections, c)
	r.mu.Unlock()
}

// blackholeFilter returns a function that truncates an answer's next bytes to
// Config.BlackholeAfter in total and blackholes the connection there.
func (r *Relay) blackholeFilter(c *connection) func([]byte) []byte {
	remaining := r.config.BlackholeAfter
	return func(data []byte) []byte {
		if r.config.BlackholeAfter == 0 {
			return data
		}
		if remaining < len(data) {
			r.limitOnce.Do(func() {
				c.blackholed.Store(true)
				data = data[:max(0, remaining)]
				close(r.limitReached)
			})
		}
		remaining -= len(data)
		return data
	}
}

// forward copies data from one side to the other until either closes. On a
// blackholed connection it reads and discards data.
func (c *connection) forward(from, to net.Conn, filter func([]byte) []byte, dropped func(int)) {
	defer from.Close()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if c.blackholed.Load() {
			dropped(n)
			if err != nil {
				return
			}
			continue
		}
		c.wait(to)
		if err != nil {
			propagateClose(to, err)
			return
		}
		if err := c.write(to, filter(buffer[:n])); err != nil {
			reset(from) // data that it has sent is lost, so it must not see an orderly close
			return
		}
	}
}

// wait applies delays and holds to data for the given side.
func (c *connection) wait(to net.Conn) {
	time.Sleep(c.relay.faults.Load().Delay)
	for c.held(to) {
		time.Sleep(holdPollInterval)
	}
}

func (c *connection) held(to net.Conn) bool {
	faults := c.relay.faults.Load()
	return (faults.HoldToTarget && to == c.target) || (faults.HoldFromTarget && to == c.client)
}

// write writes the data, in chunks of at most Faults.TrickleBytes.
func (c *connection) write(to net.Conn, data []byte) error {
	for len(data) > 0 {
		chunk := data
		if maxBytes := c.relay.faults.Load().TrickleBytes; maxBytes > 0 && maxBytes < len(data) {
			chunk = data[:maxBytes]
			time.Sleep(trickleInterval)
		}
		if _, err := to.Write(chunk); err != nil {
			return err
		}
		data = data[len(chunk):]
	}
	return nil
}

// propagateClose closes the connection as the other side was closed: a reset must
// not look like an orderly end of the data.
func propagateClose(to net.Conn, err error) {
	if errors.Is(err, io.EOF) {
		to.Close()
		return
	}
	reset(to)
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	conn.Close()
}
