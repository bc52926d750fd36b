package gate

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/bluebellchute/bluebellchute/internal/boottime"
	"github.com/bluebellchute/bluebellchute/internal/knowledge"
)

// maxSegments bounds the prompt segments that a router remembers. Each takes some 200
// bytes, and the callers of one router share far fewer.
const maxSegments = 4096

// segmentIndex records which engine was the last to read a prompt segment for a caller of
// this router. The hash order alone does not show it: while the segment's preferred engine
// was full, the second one or a later one read it. Without the index, the preferred engine
// would read again what another one caches, most of all under high load. It may be used
// concurrently.
type segmentIndex struct {
	engines *lru.Cache[string, cacheHolder] // by segment id

	mu     sync.Mutex
	demand *lru.Cache[string, *segmentDemand] // by segment id
}

// segmentDemand records how often a segment is requested.
type segmentDemand struct {
	lastRequest boottime.Instant
	interval    time.Duration // decayed mean, 0 before the second request
}

// cacheHolder identifies one incarnation of a backend server.
type cacheHolder struct{ id, incarnation string }

func newSegmentIndex() *segmentIndex {
	engines, err := lru.New[string, cacheHolder](maxSegments)
	if err != nil {
		panic(err) // the size is a constant above 0
	}
	demand, err := lru.New[string, *segmentDemand](maxSegments)
	if err != nil {
		panic(err) // as above
	}
	return &segmentIndex{engines: engines, demand: demand}
}

// recordRequest records a request for the segment and reports whether the segment is
// requested frequently.
func (s *segmentIndex) recordRequest(segment string, now boottime.Instant) bool {
	if segment == "" {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	demand, ok := s.demand.Get(segment)
	if !ok {
		s.demand.Add(segment, &segmentDemand{lastRequest: now})
		return false
	}
	elapsed := now.Sub(demand.lastRequest)
	demand.lastRequest = now
	if demand.interval == 0 {
		demand.interval = elapsed
		return false
	}
	demand.interval = time.Duration(intervalDecay*float64(demand.interval) + (1-intervalDecay)*float64(elapsed))
	return demand.interval < hotInterval
}

// recordRead records that the backend server has read the segment.
func (s *segmentIndex) recordRead(segment string, backend *knowledge.Backend) {
	if segment == "" {
		return
	}
	s.engines.Add(segment, cacheHolder{id: backend.ID, incarnation: backend.Incarnation})
}

// cacheHolder returns the backend server that was the last to read the segment, nil if it
// is unknown, no longer listed or has restarted since.
func (s *segmentIndex) cacheHolder(segment string, view *knowledge.View) *knowledge.Backend {
	holder, ok := s.engines.Get(segment)
	if !ok {
		return nil
	}
	backend := view.Backends[holder.id]
	if backend == nil || backend.Incarnation != holder.incarnation {
		return nil
	}
	return backend
}
