// Package testrelay stands between two ends of a TCP connection and lets the
// network between them fail: it delays, holds back, trickles, resets, or goes
// silent, so that the connection stays open and carries nothing more, as on a
// network that has forgotten it. Only tests use it.
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
	// bufferSize is the most that is carried at once, in bytes.
	bufferSize = 4096
	// holdPause is the pause between two looks at whether data is still held back.
	holdPause = 5 * time.Millisecond
	// tricklePause is the pause between two parts that trickle.
	tricklePause = 10 * time.Millisecond
)

// Config tells what a relay does.
type Config struct {
	Listen fleet.Address // a free port of 127.0.0.1 when empty
	Target fleet.Address
	// BlackholeAfter, if not zero, makes the first connection whose answers exceed
	// that many bytes go silent by itself; no other one does.
	BlackholeAfter int
}

// Faults is what goes wrong on all connections while it lasts. Nothing is lost by it.
type Faults struct {
	Delay          time.Duration // before each piece of data and each end
	HoldToTarget   bool          // holds back what goes to the target
	HoldFromTarget bool          // holds back what comes from it
	TrickleBytes   int           // bytes that are carried at once, 0 for no bound
}

// Relay forwards connections to a target. Connections that are made after
// Silence or Reset work.
type Relay struct {
	config   Config
	listener net.Listener
	limited  chan struct{} // closed when the limit has silenced a connection
	once     sync.Once
	dropped  atomic.Int64
	trouble  atomic.Pointer[Faults]

	mu          sync.Mutex
	connections map[*connection]bool // those that are open
	made        int
}

// connection is one connection with its two ends.
type connection struct {
	relay     *Relay
	near, far net.Conn // the client's and the target's end
	silent    atomic.Bool
}

// Start starts a relay that accepts connections until the test ends.
func Start(t testing.TB, config Config) *Relay {
	t.Helper()
	if config.Listen == "" {
		config.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", string(config.Listen))
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{config: config, listener: listener, limited: make(chan struct{}), connections: make(map[*connection]bool)}
	r.SetFaults(Faults{})
	go r.run()
	t.Cleanup(r.Close)
	return r
}

// Close ends the relay and resets its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.SetFaults(Faults{}) // held data would keep its goroutines
	r.Reset()
}

// Address is where the relay listens.
func (r *Relay) Address() fleet.Address { return fleet.Address(r.listener.Addr().String()) }

// LimitReached is closed once the answer limit has silenced a connection.
func (r *Relay) LimitReached() <-chan struct{} { return r.limited }

// DroppedBytes is the number of bytes of answers that silent connections lost.
func (r *Relay) DroppedBytes() int64 { return r.dropped.Load() }

// Connections is the number of connections so far.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.made
}

// SetFaults changes what goes wrong from now on.
func (r *Relay) SetFaults(trouble Faults) { r.trouble.Store(&trouble) }

// Blackhole makes all connections so far silent.
func (r *Relay) Blackhole() {
	for _, c := range r.open() {
		c.silent.Store(true)
	}
}

// Reset resets all connections so far at both ends.
func (r *Relay) Reset() {
	for _, c := range r.open() {
		reset(c.near)
		reset(c.far)
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

func (r *Relay) run() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(near)
	}
}

func (r *Relay) connect(near net.Conn) {
	far, err := net.Dial("tcp", string(r.config.Target))
	if err != nil {
		reset(near)
		return
	}
	c := &connection{relay: r, near: near, far: far}
	r.mu.Lock()
	r.made++
	r.connections[c] = true
	r.mu.Unlock()
	var ways sync.WaitGroup
	ways.Go(func() { c.forward(near, far, func(data []byte) []byte { return data }, func(int) {}) })
	ways.Go(func() { c.forward(far, near, r.limit(c), func(lost int) { r.dropped.Add(int64(lost)) }) })
	ways.Wait()
	r.mu.Lock()
	delete(r.connections, c)
	r.mu.Unlock()
}

// limit returns a function that gives back what of an answer's next bytes is
// still carried.
func (r *Relay) limit(c *connection) func([]byte) []byte {
	left := r.config.BlackholeAfter
	return func(data []byte) []byte {
		if r.config.BlackholeAfter == 0 {
			return data
		}
		if left < len(data) {
			r.once.Do(func() {
				c.silent.Store(true)
				data = data[:max(0, left)]
				close(r.limited)
			})
		}
		left -= len(data)
		return data
	}
}

// forward copies from one end to the other until one closes. A silent
// connection takes data and loses it.
func (c *connection) forward(from, to net.Conn, carried func([]byte) []byte, lose func(int)) {
	defer from.Close()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if c.silent.Load() {
			lose(n)
			if err != nil {
				return
			}
			continue
		}
		c.wait(to)
		if err != nil {
			end(to, err)
			return
		}
		if err := c.write(to, carried(buffer[:n])); err != nil {
			reset(from) // what it has sent is lost, and it must not look like an end
			return
		}
	}
}

// wait delays or holds back what goes to the end.
func (c *connection) wait(to net.Conn) {
	time.Sleep(c.relay.trouble.Load().Delay)
	for c.held(to) {
		time.Sleep(holdPause)
	}
}

func (c *connection) held(to net.Conn) bool {
	trouble := c.relay.trouble.Load()
	return (trouble.HoldToTarget && to == c.far) || (trouble.HoldFromTarget && to == c.near)
}

// write writes the data, in small parts while it trickles.
func (c *connection) write(to net.Conn, data []byte) error {
	for len(data) > 0 {
		part := data
		if most := c.relay.trouble.Load().TrickleBytes; most > 0 && most < len(data) {
			part = data[:most]
			time.Sleep(tricklePause)
		}
		if _, err := to.Write(part); err != nil {
			return err
		}
		data = data[len(part):]
	}
	return nil
}

// end passes on how the other end was closed: a reset must not look like the end of the data.
func end(to net.Conn, err error) {
	if errors.Is(err, io.EOF) {
		to.Close()
		return
	}
	reset(to)
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // of a closed connection nothing is left to reset
	}
	conn.Close()
}
