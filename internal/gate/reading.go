package gate

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellchute/bluebellchute/internal/fleet"
)

// readingLeast is the tokens of shared parts from which it pays to wait until an
// engine has read them for another request. Shorter ones are read in less time
// than a beat takes.
const readingLeast = 1000

// reading is the table of shared prompt parts that engines are reading. Two
// requests with the same part that arrive within its reading time would both
// have it read: an engine keeps a part once it is read, not before. The users
// pay for that, and the engine loses the time.
type reading struct {
	mu      sync.Mutex
	own     map[uint64]int             // requests of this router that read a part
	others  map[fleet.Address][]uint64 // parts that other routers' requests read
	changed chan struct{}              // closed and replaced when a part may be free
}

func newReading() *reading {
	return &reading{
		own:     make(map[uint64]int),
		others:  make(map[fleet.Address][]uint64),
		changed: make(chan struct{}),
	}
}

// begin notes that an engine reads the part for a request of this router.
func (r *reading) begin(part uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own[part]++
}

// end notes that it has, or that the request has ended.
func (r *reading) end(part uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own[part]--
	if r.own[part] <= 0 {
		delete(r.own, part)
	}
	r.wake()
}

// list returns the parts that are read for requests of this router.
func (r *reading) list() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts := make([]uint64, 0, len(r.own))
	for part := range r.own {
		parts = append(parts, part)
	}
	return parts
}

// setOther takes what another router's requests read.
func (r *reading) setOther(router fleet.Address, parts []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(parts) == 0 && len(r.others[router]) == 0 {
		return
	}
	r.others[router] = parts
	r.wake()
}

// removeOther forgets another router.
func (r *reading) removeOther(router fleet.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.others, router)
	r.wake()
}

func (r *reading) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *reading) busy(part uint64) bool {
	if r.own[part] > 0 {
		return true
	}
	for _, parts := range r.others {
		for _, other := range parts {
			if other == part {
				return true
			}
		}
	}
	return false
}

// await waits until no engine reads the part, at most so long.
func (r *reading) await(ctx context.Context, part uint64, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		r.mu.Lock()
		busy, changed := r.busy(part), r.changed
		r.mu.Unlock()
		if !busy {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
