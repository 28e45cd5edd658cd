package schedule

// PromptBlock is one part of a prompt. Prompts that begin with the same parts share what
// an engine keeps of them in its KV cache.
type PromptBlock struct {
	// Hash names the part.
	Hash   uint64
	Tokens int
}
