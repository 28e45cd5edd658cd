package entry

import (
	"bytes"
	"encoding/json"
)

// completionRequest is what is read of a body of POST /v1/completions.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens *int            `json:"max_tokens"`
	N         *int            `json:"n"`
	Stream    bool            `json:"stream"`
}

func decodeCompletion(body []byte) (*generation, *fault) {
	var r completionRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, jsonFault(err)
	}
	if r.Model == "" {
		return nil, &fault{"model", "the model is missing"}
	}
	maxTokens, problem := firstLimit(tokenLimit{"max_tokens", r.MaxTokens})
	if problem != nil {
		return nil, problem
	}
	var prompt bytes.Buffer
	if len(r.Prompt) == 0 || !writeContent(&prompt, r.Prompt) || prompt.Len() == 0 {
		return nil, &fault{"prompt", "the prompt must be a string or a list"}
	}
	return newGeneration(r.Model, prompt.Bytes(), maxTokens, r.N, r.Stream)
}
