package chatclient

import (
	"github.com/cornelyard/cornelyard/outcome"
)

// APIError is an error object of the OpenAI API, extended with the outcome.
type APIError struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Code    outcome.Reason  `json:"code"`
	Outcome outcome.Outcome `json:"outcome"`
}
