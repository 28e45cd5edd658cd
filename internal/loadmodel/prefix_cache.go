package loadmodel

import "container/list"

// prefixCache is the memory of an engine: the blocks of prompts in order, of which those of running
// requests can't be evicted, and what running requests do not share. The least recently used
// blocks are evicted.
type prefixCache struct {
	capacity  float64
	used      float64
	blocks    map[uint64]*cachedBlock
	order     *list.List // of *cachedBlock, least recently used first
	processed map[uint64]bool
	report    *PrefixReport
}

// cachedBlock is a block after a certain beginning of a prompt.
type cachedBlock struct {
	key     uint64
	tokens  float64
	pins    int
	element *list.Element
}

func newPrefixCache(capacity int, processed map[uint64]bool, report *PrefixReport) *prefixCache {
	return &prefixCache{
		capacity: float64(capacity), blocks: make(map[uint64]*cachedBlock), order: list.New(), processed: processed, report: report,
	}
}

// prefixKey returns the key of a block that follows the given prefix. Equal blocks after different
// prefixes are different.
func prefixKey(prefix, hash uint64) uint64 {
	const multiplier = 0x9E3779B97F4A7C15
	mixed := (prefix ^ hash) * multiplier
	return (mixed ^ mixed>>29) * multiplier
}

// begin looks up the prompt of a request, adds the blocks that are missing, and returns the number of
// tokens that were cached.
func (c *prefixCache) begin(r *request) (cached int) {
	key, complete, inBlocks := uint64(0), true, 0
	r.pinned = r.pinned[:0]
	for _, block := range r.blocks {
		key = prefixKey(key, block.Hash)
		inBlocks += block.Tokens
		known := c.blocks[key]
		if known == nil {
			complete = false
			if c.processed[key] {
				c.report.RereadTokens += block.Tokens
			}
			c.processed[key] = true
			known = &cachedBlock{key: key, tokens: float64(block.Tokens)}
			known.element = c.order.PushBack(known)
			c.blocks[key] = known
			c.used += known.tokens
		}
		if complete {
			cached += block.Tokens
		}
		known.pins++
		r.pinned = append(r.pinned, known)
	}
	for i := len(r.pinned) - 1; i >= 0; i-- {
		c.order.MoveToBack(r.pinned[i].element)
	}
	r.private = float64(r.prompt - inBlocks)
	c.used += r.private
	c.evict()
	return cached
}

// grow adds a part of the response to the memory of a request.
func (c *prefixCache) grow(r *request, tokens float64) {
	r.private += tokens
	c.used += tokens
	c.evict()
}

// release frees the memory of a request. Its prompt stays until it is evicted.
func (c *prefixCache) release(r *request) {
	for _, block := range r.pinned {
		block.pins--
	}
	r.pinned = nil
	c.used -= r.private
	r.private = 0
}

func (c *prefixCache) evict() {
	for e := c.order.Front(); e != nil && c.used > c.capacity; {
		block, next := e.Value.(*cachedBlock), e.Next()
		if block.pins == 0 {
			c.order.Remove(e)
			delete(c.blocks, block.key)
			c.used -= block.tokens
		}
		e = next
	}
}

// lookUpPrompt is called in each step in which the engine processes the prompt; the first one
// finds what is cached.
func (e *engine) lookUpPrompt(r *request) {
	if e.cache == nil || r.prefilling {
		return
	}
	r.prefilling = true
	cached := e.cache.begin(r)
	r.prefillLeft -= float64(cached)
	e.cache.report.add(r, cached)
}
