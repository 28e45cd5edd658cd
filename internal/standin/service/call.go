package service

import "time"

// Call is the record of a received call.
type Call struct {
	// ID is the call's X-Request-Id.
	ID       string    `json:"id"`
	Received time.Time `json:"received"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	// Key is the field "idempotencyKey" of a JSON body.
	Key string `json:"key,omitempty"`
	// Finished is set when the response was written.
	Finished bool `json:"finished"`
}
