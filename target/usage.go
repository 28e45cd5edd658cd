package target

// Usage is the token usage that an engine reports with a response.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	Details          *UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails breaks down the prompt tokens.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Cached returns the number of prompt tokens that the engine found in its cache.
func (u *Usage) Cached() int {
	if u.Details == nil {
		return 0
	}
	return u.Details.CachedTokens
}
