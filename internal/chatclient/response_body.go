package chatclient

// responseBody is the JSON of a complete response, an event of a stream or an error.
type responseBody struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	}
	Error *APIError
}
