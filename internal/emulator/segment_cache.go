package emulator

import "container/list"

// segmentCache holds an engine's cached prompt segments, keyed by the prefix of
// the prompt up to and including the segment. It evicts the least recently used.
type segmentCache struct {
	byPrefix map[string]*list.Element
	order    *list.List // of cachedSegment, the least recently used first
	tokens   int
}

type cachedSegment struct {
	prefix string
	tokens int
}

func newSegmentCache() *segmentCache {
	return &segmentCache{byPrefix: make(map[string]*list.Element), order: list.New()}
}

// lookup returns the number of tokens in the cached leading segments and marks
// these as used.
func (c *segmentCache) lookup(segments []Segment) int {
	found, prefix := 0, ""
	for _, segment := range segments {
		prefix += "/" + segment.ID
		element := c.byPrefix[prefix]
		if element == nil {
			break
		}
		c.order.MoveToBack(element)
		found += segment.Tokens
	}
	return found
}

// add caches all segments of a prompt.
func (c *segmentCache) add(segments []Segment) {
	prefix := ""
	for _, segment := range segments {
		prefix += "/" + segment.ID
		if element := c.byPrefix[prefix]; element != nil {
			c.order.MoveToBack(element)
			continue
		}
		c.byPrefix[prefix] = c.order.PushBack(cachedSegment{prefix: prefix, tokens: segment.Tokens})
		c.tokens += segment.Tokens
	}
}

// evictTo evicts segments until the cache holds at most maxTokens.
func (c *segmentCache) evictTo(maxTokens int) {
	for c.tokens > maxTokens && c.order.Len() > 0 {
		oldest := c.order.Remove(c.order.Front()).(cachedSegment)
		delete(c.byPrefix, oldest.prefix)
		c.tokens -= oldest.tokens
	}
}
