// Package testrelay stands between two ends of a TCP connection and lets it go
// silent: the connection stays open and carries nothing more, as on a network
// that has forgotten it. Only tests use it.
package testrelay

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// bufferSize is the most that is carried at once, in bytes.
const bufferSize = 4096

// Config tells what a relay does.
type Config struct {
	Listen fleet.Address // a free port of 127.0.0.1 when empty
	Target fleet.Address
	// AnswerLimit, if not zero, makes the first connection whose answers exceed
	// that many bytes go silent by itself; no other one does.
	AnswerLimit int
}

// Relay forwards connections to a target. Connections that are made after
// Silence work.
type Relay struct {
	config   Config
	listener net.Listener
	limited  chan struct{} // closed when the limit has silenced a connection
	once     sync.Once
	dropped  atomic.Int64

	mu          sync.Mutex
	connections []*connection
}

// connection is one connection with its two ends.
type connection struct {
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
	r := &Relay{config: config, listener: listener, limited: make(chan struct{})}
	go r.run()
	t.Cleanup(func() { listener.Close() })
	return r
}

// Address is where the relay listens.
func (r *Relay) Address() fleet.Address { return fleet.Address(r.listener.Addr().String()) }

// Limited is closed once the answer limit has silenced a connection.
func (r *Relay) Limited() <-chan struct{} { return r.limited }

// Dropped is the number of bytes of answers that silent connections lost.
func (r *Relay) Dropped() int64 { return r.dropped.Load() }

// Connections is the number of connections so far.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.connections)
}

// Silence makes all connections so far silent.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.connections {
		c.silent.Store(true)
	}
}

func (r *Relay) run() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", string(r.config.Target))
		if err != nil {
			near.Close()
			continue
		}
		c := &connection{near: near, far: far}
		r.mu.Lock()
		r.connections = append(r.connections, c)
		r.mu.Unlock()
		go c.forward(near, far, func(data []byte) []byte { return data }, func(int) {})
		go c.forward(far, near, r.limit(c), func(lost int) { r.dropped.Add(int64(lost)) })
	}
}

// limit returns a function that gives back what of an answer's next bytes is
// still carried.
func (r *Relay) limit(c *connection) func([]byte) []byte {
	left := r.config.AnswerLimit
	return func(data []byte) []byte {
		if r.config.AnswerLimit == 0 {
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
		if err != nil {
			to.Close()
			return
		}
		if _, err := to.Write(carried(buffer[:n])); err != nil {
			return
		}
	}
}
