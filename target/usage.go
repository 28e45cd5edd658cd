package target

// Usage is what an engine told about the tokens of an answer.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	Details          *UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails splits up the prompt tokens.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Cached returns the number of prompt tokens that were in the engine's cache.
func (u *Usage) Cached() int {
	if u.Details == nil {
		return 0
	}
	return u.Details.CachedTokens
}
