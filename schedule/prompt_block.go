package schedule

// PromptBlock is one block of a prompt. Prompts that begin with the same blocks share
// the blocks' entries in the KV cache of an engine.
type PromptBlock struct {
	// Hash identifies the block.
	Hash   uint64
	Tokens int
}
