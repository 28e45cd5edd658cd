package route

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// KVCacheTokens is the number of tokens that the KV cache of one engine holds;
	// zero means that it is not known.
	KVCacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream; zero means
	// that it is not known.
	TokensPerEvent int
}
