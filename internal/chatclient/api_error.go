package chatclient

import (
	"github.com/cornelyard/cornelyard/outcome"
)

// APIError is an error as the OpenAI API shapes it, with the outcome.
type APIError struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Code    outcome.Reason  `json:"code"`
	Outcome outcome.Outcome `json:"outcome"`
}
