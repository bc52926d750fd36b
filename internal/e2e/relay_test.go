package e2e

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// relay forwards connections. Once silenced it carries nothing more on the
// connections that were open, and keeps them open; new ones work.
type relay struct {
	listener net.Listener
	target   fleet.Address

	mu   sync.Mutex
	open []*atomic.Bool // set for connections that have gone silent

	dropped atomic.Int64 // bytes of answers that silent connections lost
}

func startRelay(t *testing.T, target fleet.Address) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", string(addressOf(newHost(), dataPort)))
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target}
	go r.run()
	t.Cleanup(func() { listener.Close() })
	return r
}

func (r *relay) address() fleet.Address { return fleet.Address(r.listener.Addr().String()) }

// silence makes the open connections silent.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, silent := range r.open {
		silent.Store(true)
	}
}

func (r *relay) run() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", string(r.target))
		if err != nil {
			near.Close()
			continue
		}
		silent := new(atomic.Bool)
		r.mu.Lock()
		r.open = append(r.open, silent)
		r.mu.Unlock()
		go forward(near, far, silent, new(atomic.Int64))
		go forward(far, near, silent, &r.dropped)
	}
}

// forward copies until an end closes. A silent connection takes data and drops
// it, as a network that has forgotten the connection does.
func forward(from, to net.Conn, silent *atomic.Bool, dropped *atomic.Int64) {
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if silent.Load() {
			dropped.Add(int64(n))
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// connections is the number of connections so far.
func (r *relay) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}
