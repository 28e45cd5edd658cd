package entry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/admission"
)

const (
	// bytesPerToken is an estimate of the length of a token.
	bytesPerToken = 4
	// prefixBlockBytes is the length of a hashed block of the prompt.
	prefixBlockBytes = admission.PrefixBlockTokens * bytesPerToken
	// maxPrefixBlocks limits the number of hashed blocks per prompt.
	maxPrefixBlocks = 64
)

// estimateTokens estimates the number of tokens in a text of the given length.
func estimateTokens(bytes int) int {
	return (bytes + bytesPerToken - 1) / bytesPerToken
}

// prefixHashes returns the chained hashes of the prompt's leading full blocks.
// Prompts that share their first n blocks share their first n hashes.
func prefixHashes(prompt []byte) []uint64 {
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, 0, blocks)
	chain := xxhash.New()
	for i := range blocks {
		_, _ = chain.Write(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes = append(hashes, chain.Sum64())
	}
	return hashes
}
