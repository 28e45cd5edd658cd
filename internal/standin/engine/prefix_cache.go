package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

const blockBytes = BlockTokens * BytesPerToken

// prefixCache is an LRU cache of prompt blocks. A block is identified by the hash of
// the prompt up to the end of the block.
type prefixCache struct {
	size    int
	order   *list.List
	entries map[uint64]*list.Element
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// blockHashes returns the hashes of the prompt's complete blocks.
func blockHashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	var d xxhash.Digest
	d.Reset()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = d.WriteString(prompt[end-blockBytes : end])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// match returns the number of leading blocks that are cached and marks them as
// recently used.
func (c *prefixCache) match(hashes []uint64) int {
	for i, hash := range hashes {
		element, ok := c.entries[hash]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(hashes)
}

// add caches the blocks and evicts the least recently used ones beyond the size.
func (c *prefixCache) add(hashes []uint64) {
	for _, hash := range hashes {
		if element, ok := c.entries[hash]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.entries[hash] = c.order.PushFront(hash)
	}
	for c.order.Len() > c.size {
		last := c.order.Back()
		c.order.Remove(last)
		delete(c.entries, last.Value.(uint64))
	}
}
