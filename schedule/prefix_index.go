package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// prefixTTL is how long a part is expected to stay in a KV cache after
	// its last use.
	prefixTTL = 45 * time.Second
	// maxHolders bounds the targets that are remembered for one part.
	maxHolders = 4
	// maxBlocks bounds the index.
	maxBlocks = 1 << 15
)

// prefixIndex remembers which targets computed which parts of prompts.
type prefixIndex struct {
	holders map[uint64][]holder
}

// holder is a target that computed a part.
type holder struct {
	target   ident.Target
	lastUsed time.Time
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{holders: make(map[uint64][]holder)}
}

// record remembers that the target computed the part.
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

// likelyCached says whether the target is expected to keep the part.
func (x *prefixIndex) likelyCached(now time.Time, hash uint64, target ident.Target) bool {
	for _, h := range x.holders[hash] {
		if h.target == target {
			return now.Sub(h.lastUsed) < prefixTTL
		}
	}
	return false
}

// uncached returns how many tokens of the prompt the target has to compute. A
// part is of use only if all parts before it are kept too.
func (x *prefixIndex) uncached(now time.Time, r *Request, target ident.Target) int {
	rest := r.PromptTokens
	for _, part := range r.PromptBlocks {
		if !x.likelyCached(now, part.Hash, target) {
			break
		}
		rest -= part.Tokens
	}
	return max(rest, 0)
}

// removeTarget drops what is known of a target that lost its cache.
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

// evictExpired drops what has not been used for long, or everything if that is not
// enough.
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
