package agent

import (
	"slices"
	"sync"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
	"github.com/bluebellchute/bluebellchute/internal/rpc"
)

// carrierKey is the process of a router that reads answers here.
type carrierKey struct {
	router      fleet.Address
	incarnation uint64
}

// carriers are the connections that can carry grants to the routers: each reads
// the answer to a request of its router, has written out all that there is of
// it, and waits for more. A grant on one of them takes a tenth of the bytes of
// a call, and no more time.
type carriers struct {
	mu      sync.Mutex
	waiting map[carrierKey][]*frameReader
	count   func(bytes int) // counts them as control traffic
}

func newCarriers(count func(bytes int)) *carriers {
	if count == nil {
		count = func(int) {}
	}
	return &carriers{waiting: make(map[carrierKey][]*frameReader), count: count}
}

// enter adds a reader that waits.
func (c *carriers) enter(reader *frameReader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[reader.carrier] = append(c.waiting[reader.carrier], reader)
}

// leave removes a reader that waits no more, and returns the grants that were
// handed to it, if any.
func (c *carriers) leave(reader *frameReader) []*rpc.Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	readers := c.waiting[reader.carrier]
	if i := slices.Index(readers, reader); i >= 0 {
		readers = slices.Delete(readers, i, i+1)
	}
	if len(readers) == 0 {
		delete(c.waiting, reader.carrier)
	} else {
		c.waiting[reader.carrier] = readers
	}
	select {
	case <-reader.woken:
	default:
	}
	grants := reader.handed
	reader.handed = nil
	return grants
}

// carry hands grants to the reader that began to wait last: of all connections
// to the router it is the one that was seen working last. It reports false when
// none waits. The grants are not heard of again: if the connection is dead, they
// lapse.
func (c *carriers) carry(key carrierKey, grants []*rpc.Grant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	readers := c.waiting[key]
	if len(readers) == 0 {
		return false
	}
	reader := readers[len(readers)-1]
	reader.handed = append(reader.handed, grants...)
	select {
	case reader.woken <- struct{}{}:
	default: // it has been woken already
	}
	return true
}
