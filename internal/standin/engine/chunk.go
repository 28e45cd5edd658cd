package engine

// chunk is a whole answer, or one frame of a stream.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice is the one choice of an answer; which field is set depends on its form.
type choice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// answerMessage is the content of a choice of a chat.
type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

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
