package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

const blockBytes = BlockTokens * BytesPerToken

// prefixCache remembers the prompt blocks that were used last. A block is known
// by the hash of the prompt up to its end.
type prefixCache struct {
	size    int
	order   *list.List
	entries map[uint64]*list.Element
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// blockHashes returns the hashes of the prompt's whole blocks.
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

// match returns the number of leading blocks that are kept, and marks them as
// used.
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

// add keeps the blocks and drops those that were used longest ago.
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
