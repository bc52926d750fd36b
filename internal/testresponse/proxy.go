package testresponse

import (
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// Proxy forwards connections to a target and ends each after a number of bytes from the target.
type Proxy struct {
	address fleet.Address
	target  fleet.Address
	end     End
	limit   atomic.Int64
}

// StartProxy starts a proxy that runs until the test ends.
func StartProxy(t testing.TB, target fleet.Address, end End) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &Proxy{address: fleet.Address(listener.Addr().String()), target: target, end: end}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn.(*net.TCPConn))
		}
	}()
	return p
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() fleet.Address { return p.address }

// CutAfter sets the number of bytes after which connections end that are opened from now on.
func (p *Proxy) CutAfter(limit int) { p.limit.Store(int64(limit)) }

func (p *Proxy) forward(client *net.TCPConn) {
	defer client.Close()
	target, err := net.Dial("tcp", string(p.target))
	if err != nil {
		return
	}
	defer target.Close()
	limit := p.limit.Load()
	go func() { _, _ = io.Copy(target, client) }() // ends with either connection
	_, _ = io.CopyN(client, target, limit)
	if p.end == Reset {
		_ = client.SetLinger(0) // fails only on a closed connection
	}
}
