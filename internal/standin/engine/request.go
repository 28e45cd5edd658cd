package engine

import (
	"encoding/json"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// Request is the body of a chat completion or a completion.
type Request struct {
	Model               string         `json:"model"`
	Messages            []Message      `json:"messages,omitempty"`
	Prompt              string         `json:"prompt,omitempty"`
	MaxTokens           int            `json:"max_tokens,omitempty"`
	MaxCompletionTokens int            `json:"max_completion_tokens,omitempty"`
	Stream              bool           `json:"stream,omitempty"`
	StreamOptions       *StreamOptions `json:"stream_options,omitempty"`
}

// includesUsage reports whether the stream must end with a usage chunk.
func (r *Request) includesUsage() bool {
	return r.StreamOptions != nil && r.StreamOptions.IncludeUsage
}

func (r *Request) limit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

func parseRequest(kind kind, body []byte) (*Request, string, error) {
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, "", standin.Error.Wrap(err)
	}
	if kind == completionKind {
		return &request, request.Prompt, nil
	}
	if len(request.Messages) == 0 {
		return nil, "", standin.Error.New("no messages")
	}
	return &request, ChatPrompt(request.Messages), nil
}
