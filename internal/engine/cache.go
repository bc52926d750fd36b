package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the prefix cache.
const (
	bytesPerToken = 4  // of prompt text
	blockTokens   = 32 // the unit that is kept or dropped
)

// prefixCache remembers which prompt prefixes the engine has worked out, in
// blocks, within a limited number of tokens. The least recently used go first.
type prefixCache struct {
	capacity int // blocks
	order    *list.List
	blocks   map[uint64]*list.Element
	hits     uint64 // tokens found
	misses   uint64 // tokens worked out
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{
		capacity: max(1, tokens/blockTokens),
		order:    list.New(),
		blocks:   make(map[uint64]*list.Element),
	}
}

// take returns the number of tokens of the prompt that were cached and caches
// the rest. A block counts only when all blocks before it do.
func (c *prefixCache) take(prompt string) (cached int) {
	const blockBytes = blockTokens * bytesPerToken
	var digest xxhash.Digest
	digest.Reset()
	prefix := true
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		_, _ = digest.WriteString(prompt[start : start+blockBytes])
		found := c.touch(digest.Sum64())
		prefix = prefix && found
		if prefix {
			cached += blockTokens
		}
	}
	c.hits += uint64(cached)
	c.misses += uint64(promptTokens(prompt) - cached)
	return cached
}

// touch reports whether the block is cached, and makes it the latest used.
func (c *prefixCache) touch(key uint64) bool {
	if element, ok := c.blocks[key]; ok {
		c.order.MoveToFront(element)
		return true
	}
	c.blocks[key] = c.order.PushFront(key)
	if c.order.Len() > c.capacity {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
	}
	return false
}

// promptTokens is the number of tokens of a prompt, at least one.
func promptTokens(prompt string) int {
	return max(1, len(prompt)/bytesPerToken)
}
