package gate

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// maxSegments bounds the prompt parts that a router remembers. Each takes some
// 200 bytes, and the callers that come to one router share far fewer.
const maxSegments = 4096

// segmentIndex remembers at which engine a prompt part was read last for a caller of
// this router. The order of a part's key alone does not tell that: when its first
// home was full, the part is at the second, or further on.
//
// Without it, the first home reads anew what the second one keeps, most of all under
// high load. It may be used concurrently.
type segmentIndex struct {
	engines *lru.Cache[string, cacheHolder] // by the part's id

	mu     sync.Mutex
	demand *lru.Cache[string, *segmentDemand] // by the part's id
}

// segmentDemand is how often a part is asked for.
type segmentDemand struct {
	lastRequest boottime.Instant
	interval    time.Duration // decayed mean, 0 before the second request
}

// cacheHolder is one start of a backend server.
type cacheHolder struct{ id, incarnation string }

func newSegmentIndex() *segmentIndex {
	engines, err := lru.New[string, cacheHolder](maxSegments)
	if err != nil {
		panic(err) // the size is a constant above 0
	}
	asks, err := lru.New[string, *segmentDemand](maxSegments)
	if err != nil {
		panic(err) // as above
	}
	return &segmentIndex{engines: engines, demand: asks}
}

// recordRequest notes a request for the part and returns whether the part is asked for often.
func (k *segmentIndex) recordRequest(segment string, now boottime.Instant) bool {
	if segment == "" {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	known, ok := k.demand.Get(segment)
	if !ok {
		k.demand.Add(segment, &segmentDemand{lastRequest: now})
		return false
	}
	elapsed := now.Sub(known.lastRequest)
	known.lastRequest = now
	if known.interval == 0 {
		known.interval = elapsed
		return false
	}
	known.interval = time.Duration(intervalDecay*float64(known.interval) + (1-intervalDecay)*float64(elapsed))
	return known.interval < hotInterval
}

// recordRead notes that the backend server has read the part.
func (k *segmentIndex) recordRead(segment string, backend *knowledge.Backend) {
	if segment == "" {
		return
	}
	k.engines.Add(segment, cacheHolder{id: backend.ID, incarnation: backend.Incarnation})
}

// cacheHolder returns the backend server that read the part last, nil when none is known
// or it has gone or started again since.
func (k *segmentIndex) cacheHolder(segment string, view *knowledge.View) *knowledge.Backend {
	known, ok := k.engines.Get(segment)
	if !ok {
		return nil
	}
	backend := view.Backends[known.id]
	if backend == nil || backend.Incarnation != known.incarnation {
		return nil
	}
	return backend
}
