package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// maxTokensLimit bounds what a caller may ask for.
const maxTokensLimit = 10_000_000

// chatRequest is what is read of a body of POST /v1/chat/completions.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	N                   *int          `json:"n"`
	Stream              bool          `json:"stream"`
}

// chatMessage is one message of a chat.
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
	maxTokens, problem := firstSetLimit(
		tokenLimit{"max_completion_tokens", r.MaxCompletionTokens},
		tokenLimit{"max_tokens", r.MaxTokens},
	)
	if problem != nil {
		return nil, problem
	}
	prompt, problem := chatPrompt(r.Messages)
	if problem != nil {
		return nil, problem
	}
	return newGenerationRequest(r.Model, prompt, maxTokens, r.N, r.Stream)
}

// chatPrompt returns the text that the engine computes, as far as it is known
// here.
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

// writeContent writes a string's text, or a list of parts as it stands.
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
