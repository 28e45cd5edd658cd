package engine

// usage tells what an answer cost, in tokens.
type usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails usageDetails `json:"prompt_tokens_details"`
}

// usageDetails tells how much of the prompt came from the prefix cache.
type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}
