package entry

import (
	"bytes"
	"encoding/json"
)

// completionRequest holds the fields of POST /v1/completions that this package reads.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens *int            `json:"max_tokens"`
	N         *int            `json:"n"`
	Stream    bool            `json:"stream"`
}

func decodeCompletion(body []byte) (*generationRequest, *bodyError) {
	var r completionRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, newJSONError(err)
	}
	if r.Model == "" {
		return nil, &bodyError{"model", "the model is missing"}
	}
	maxTokens, invalid := firstSetLimit(tokenLimit{"max_tokens", r.MaxTokens})
	if invalid != nil {
		return nil, invalid
	}
	var prompt bytes.Buffer
	if len(r.Prompt) == 0 || !writeContent(&prompt, r.Prompt) || prompt.Len() == 0 {
		return nil, &bodyError{"prompt", "the prompt must be a string or a list"}
	}
	return newGenerationRequest(r.Model, prompt.Bytes(), maxTokens, r.N, r.Stream)
}
