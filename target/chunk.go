package target

// Chunk is one piece of an answer, ready to be passed on.
type Chunk struct {
	Bytes []byte
	// Tokens is the number of generated tokens in the chunk; an engine's frame
	// counts as one.
	Tokens int
	// Usage is set if the chunk carries it.
	Usage *Usage
}
