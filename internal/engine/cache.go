package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the prefix cache.
const (
	bytesPerToken = 4  // of the prompt
	blockTokens   = 32 // the unit of caching and eviction
)

// prefixCache records which prompt prefixes the engine has processed, in blocks
// and within a limited number of tokens. It evicts the least recently used blocks.
type prefixCache struct {
	capacity int // blocks
	order    *list.List
	blocks   map[uint64]*list.Element
	hits     uint64 // tokens found
	misses   uint64 // tokens processed
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{
		capacity: max(1, tokens/blockTokens),
		order:    list.New(),
		blocks:   make(map[uint64]*list.Element),
	}
}

// lookupAndAdd returns how many tokens of the prompt were cached and caches the
// rest. A block counts as cached only if all blocks before it do.
func (c *prefixCache) lookupAndAdd(prompt string) (cached int) {
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

// touch reports whether the block is cached and marks it as the most recently
// used, adding it if necessary.
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

// promptTokens returns the number of tokens of a prompt, at least one.
func promptTokens(prompt string) int {
	return max(1, len(prompt)/bytesPerToken)
}
