package gate

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bluebellchute/bluebellchute/internal/streamorigin"
)

const (
	// maxContinuations is how often a router admits a stream before new requests when callers
	// take it up. Without the bound, a caller could have one short stream begin and take it up
	// with any number of requests.
	maxContinuations = 2
	// maxCountedStreams bounds the streams whose continuations are counted.
	maxCountedStreams = 1 << 13
)

// continuations counts how often each stream went on before new requests at this router. Its
// methods may be called concurrently.
type continuations struct {
	mu     sync.Mutex
	counts *simplelru.LRU[streamorigin.Stream, int]
}

func newContinuations() *continuations {
	counts, err := simplelru.NewLRU[streamorigin.Stream, int](maxCountedStreams, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &continuations{counts: counts}
}

// acquire counts a request that takes the stream up, unless that has gone on before new requests
// often enough.
func (c *continuations) acquire(stream streamorigin.Stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	count, _ := c.counts.Get(stream)
	if count >= maxContinuations {
		return false
	}
	c.counts.Add(stream, count+1)
	return true
}

// release reverts acquire for a request that brought neither an event nor the stream's end.
func (c *continuations) release(stream streamorigin.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if count, _ := c.counts.Get(stream); count > 0 {
		c.counts.Add(stream, count-1)
	}
}
