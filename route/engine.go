package route

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// KVCacheTokens is the capacity of one engine's KV cache in tokens; zero means
	// unknown.
	KVCacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream; zero means
	// unknown.
	TokensPerEvent int
}
