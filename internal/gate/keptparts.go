package gate

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// keptPartsMost bounds the prompt parts that a router remembers. Each takes some
// 200 bytes, and the callers that come to one router share far fewer.
const keptPartsMost = 4096

// keptParts remembers at which engine a prompt part was read last for a caller of
// this router. The order of a part's key alone does not tell that: when its first
// home was full, the part is at the second, or further on.
//
// Without it, the first home reads anew what the second one keeps, most of all under
// high load. It may be used concurrently.
type keptParts struct {
	engines *lru.Cache[string, keeper] // by the part's id

	mu   sync.Mutex
	asks *lru.Cache[string, *askedPart] // by the part's id
}

// askedPart is how often a part is asked for.
type askedPart struct {
	last     boottime.Instant
	interval time.Duration // decayed mean, 0 before the second request
}

// keeper is one start of a backend server.
type keeper struct{ id, incarnation string }

func newKeptParts() *keptParts {
	engines, err := lru.New[string, keeper](keptPartsMost)
	if err != nil {
		panic(err) // the size is a constant above 0
	}
	asks, err := lru.New[string, *askedPart](keptPartsMost)
	if err != nil {
		panic(err) // as above
	}
	return &keptParts{engines: engines, asks: asks}
}

// asked notes a request for the part and returns whether the part is asked for often.
func (k *keptParts) asked(part string, now boottime.Instant) bool {
	if part == "" {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	known, ok := k.asks.Get(part)
	if !ok {
		k.asks.Add(part, &askedPart{last: now})
		return false
	}
	passed := now.Sub(known.last)
	known.last = now
	if known.interval == 0 {
		known.interval = passed
		return false
	}
	known.interval = time.Duration(intervalMemory*float64(known.interval) + (1-intervalMemory)*float64(passed))
	return known.interval < hotInterval
}

// note notes that the backend server has read the part.
func (k *keptParts) note(part string, backend *knowledge.Backend) {
	if part == "" {
		return
	}
	k.engines.Add(part, keeper{id: backend.ID, incarnation: backend.Incarnation})
}

// keeper returns the backend server that read the part last, nil when none is known
// or it has gone or started again since.
func (k *keptParts) keeper(part string, view *knowledge.View) *knowledge.Backend {
	known, ok := k.engines.Get(part)
	if !ok {
		return nil
	}
	backend := view.Backends[known.id]
	if backend == nil || backend.Incarnation != known.incarnation {
		return nil
	}
	return backend
}
