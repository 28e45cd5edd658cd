package service

import "time"

// Call is one received call.
type Call struct {
	// ID is the call's X-Request-Id.
	ID       string    `json:"id"`
	Received time.Time `json:"received"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	// Key is the member "idempotencyKey" of a JSON body.
	Key string `json:"key,omitempty"`
	// Finished says that the answer was written.
	Finished bool `json:"finished"`
}
