package schedule

// promptPrefix is the beginning of a prompt up to the end of one of its blocks.
type promptPrefix struct {
	// hash identifies all blocks up to this one in their order, because equal blocks after
	// different beginnings have different entries in a KV cache.
	hash uint64
	// tokens is the length of the last block.
	tokens int
}

// maxPromptPrefixes bounds the blocks of a prompt that are considered. Those beyond count as not
// cached.
const maxPromptPrefixes = 64

// promptPrefixes returns the beginnings of the prompt, the shortest first.
func (r *Request) promptPrefixes() []promptPrefix {
	if r.prefixes != nil || len(r.PromptBlocks) == 0 {
		return r.prefixes
	}
	blocks := r.PromptBlocks[:min(len(r.PromptBlocks), maxPromptPrefixes)]
	r.prefixes = make([]promptPrefix, len(blocks))
	hash := uint64(0)
	for i, block := range blocks {
		hash = combineHashes(hash, block.Hash, i)
		r.prefixes[i] = promptPrefix{hash: hash, tokens: max(block.Tokens, 0)}
	}
	return r.prefixes
}

// hashMultiplier is an odd number without a pattern, 2^64 divided by the golden ratio.
const hashMultiplier = 0x9E3779B97F4A7C15

// combineHashes returns the hash of a beginning followed by the block with the given index. That
// of the first block alone is the hash of the block.
func combineHashes(beginning, block uint64, index int) uint64 {
	if index == 0 {
		return block
	}
	mixed := (beginning ^ block*hashMultiplier) * hashMultiplier
	return mixed ^ mixed>>32
}
