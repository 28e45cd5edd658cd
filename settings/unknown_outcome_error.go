package settings

import "fmt"

// UnknownOutcomeError reports that a change may or may not have been accepted, because
// the platform did not confirm it in time. Sending the change again with the same ID
// is safe.
type UnknownOutcomeError struct {
	ID  string
	Err error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change %s may or may not have been accepted: %v", e.ID, e.Err)
}

// Unwrap returns the platform's error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }
