package engine

// usage holds the token counts of a response.
type usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails usageDetails `json:"prompt_tokens_details"`
}

// usageDetails holds the number of prompt tokens found in the prefix cache.
type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}
