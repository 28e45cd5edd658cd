package api

import (
	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/settings"
)

// Error describes why a request was refused. It implements error.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Findings are the validation errors, if Code is Findings or BadRequest.
	Findings finding.List `json:"findings,omitempty"`
	// Conflicts are the conflicting documents, if Code is Conflict.
	Conflicts []settings.Conflict `json:"conflicts,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return e.Message }
