package target

// Chunk is a part of a response body that may be forwarded to the caller.
type Chunk struct {
	Bytes []byte
	// Tokens is the number of generated tokens in the chunk. A streamed event that
	// carries generated text counts as one.
	Tokens int
	// Usage is nil if the chunk carries no token usage.
	Usage *Usage
}
