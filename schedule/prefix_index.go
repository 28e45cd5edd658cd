package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// prefixTTL is how long a block is expected to stay in a KV cache after its last
	// use.
	prefixTTL = 45 * time.Second
	// maxHolders bounds the targets that are recorded for one block.
	maxHolders = 4
	// maxBlocks bounds the blocks in the index.
	maxBlocks = 1 << 15
)

// prefixIndex records which targets have processed which prompt blocks.
type prefixIndex struct {
	holders map[uint64][]holder
}

// holder is a target that has processed a block.
type holder struct {
	target   ident.Target
	lastUsed time.Time
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{holders: make(map[uint64][]holder)}
}

// record records that the target has processed the block.
func (x *prefixIndex) record(now time.Time, hash uint64, target ident.Target) {
	list := x.holders[hash]
	for i := range list {
		if list[i].target == target {
			list[i].lastUsed = now
			return
		}
	}
	if len(x.holders) >= maxBlocks {
		x.evictExpired(now)
	}
	if len(list) >= maxHolders {
		list = evictOldest(list)
	}
	x.holders[hash] = append(list, holder{target: target, lastUsed: now})
}

func evictOldest(list []holder) []holder {
	oldest := 0
	for i := range list {
		if list[i].lastUsed.Before(list[oldest].lastUsed) {
			oldest = i
		}
	}
	list[oldest] = list[len(list)-1]
	return list[:len(list)-1]
}

// likelyCached reports whether the block is expected to be in the target's KV cache.
func (x *prefixIndex) likelyCached(now time.Time, hash uint64, target ident.Target) bool {
	for _, h := range x.holders[hash] {
		if h.target == target {
			return now.Sub(h.lastUsed) < prefixTTL
		}
	}
	return false
}

// uncached returns how many tokens of the prompt the target has to process. A cached
// block is of use only if all blocks before it are cached too.
func (x *prefixIndex) uncached(now time.Time, r *Request, target ident.Target) int {
	remaining := r.PromptTokens
	for _, block := range r.PromptBlocks {
		if !x.likelyCached(now, block.Hash, target) {
			break
		}
		remaining -= block.Tokens
	}
	return max(remaining, 0)
}

// removeTarget removes a target that has lost its KV cache.
func (x *prefixIndex) removeTarget(target ident.Target) {
	for hash, list := range x.holders {
		kept := list[:0]
		for _, h := range list {
			if h.target != target {
				kept = append(kept, h)
			}
		}
		x.store(hash, kept)
	}
}

// evictExpired evicts the entries that are older than prefixTTL, or all entries if the
// index is still full after that.
func (x *prefixIndex) evictExpired(now time.Time) {
	for hash, list := range x.holders {
		kept := list[:0]
		for _, h := range list {
			if now.Sub(h.lastUsed) < prefixTTL {
				kept = append(kept, h)
			}
		}
		x.store(hash, kept)
	}
	if len(x.holders) >= maxBlocks {
		clear(x.holders)
	}
}

func (x *prefixIndex) store(hash uint64, list []holder) {
	if len(list) == 0 {
		delete(x.holders, hash)
		return
	}
	x.holders[hash] = list
}
