package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// maxTokensLimit is the largest number of tokens a caller may request.
const maxTokensLimit = 10_000_000

// chatRequest holds the fields of POST /v1/chat/completions that this package reads.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	N                   *int          `json:"n"`
	Stream              bool          `json:"stream"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func decodeChat(body []byte) (*generationRequest, *bodyError) {
	var r chatRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, newJSONError(err)
	}
	if r.Model == "" {
		return nil, &bodyError{"model", "the model is missing"}
	}
	if len(r.Messages) == 0 {
		return nil, &bodyError{"messages", "at least one message is required"}
	}
	maxTokens, invalid := firstSetLimit(
		tokenLimit{"max_completion_tokens", r.MaxCompletionTokens},
		tokenLimit{"max_tokens", r.MaxTokens},
	)
	if invalid != nil {
		return nil, invalid
	}
	prompt, invalid := chatPrompt(r.Messages)
	if invalid != nil {
		return nil, invalid
	}
	g, invalid := newGenerationRequest(r.Model, prompt, maxTokens, r.N, r.Stream)
	if invalid != nil {
		return nil, invalid
	}
	g.parts = messageParts(r.Model, r.Messages)
	return g, nil
}

// chatPrompt returns an approximation of the prompt; the engine's chat template
// is not known here.
func chatPrompt(messages []chatMessage) ([]byte, *bodyError) {
	var prompt bytes.Buffer
	for i, m := range messages {
		if m.Role == "" {
			return nil, &bodyError{fmt.Sprintf("messages[%d].role", i), "the role is missing"}
		}
		prompt.WriteString(m.Role)
		prompt.WriteByte('\n')
		if !writeContent(&prompt, m.Content) {
			return nil, &bodyError{fmt.Sprintf("messages[%d].content", i), "the content must be a string, a list of parts or null"}
		}
		prompt.WriteByte('\n')
	}
	return prompt.Bytes(), nil
}

// writeContent appends a JSON string's text, or a list of parts as raw JSON. It
// returns false if content is of another type.
func writeContent(prompt *bytes.Buffer, content json.RawMessage) bool {
	content = bytes.TrimSpace(content)
	if len(content) == 0 || bytes.Equal(content, []byte("null")) {
		return true
	}
	switch content[0] {
	case '"':
		var text string
		if json.Unmarshal(content, &text) != nil {
			return false
		}
		prompt.WriteString(text)
		return true
	case '[':
		prompt.Write(content)
		return true
	default:
		return false
	}
}
