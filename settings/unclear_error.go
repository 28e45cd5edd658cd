package settings

import "fmt"

// UnclearError says that a change may or may not have been accepted, and that
// the platform did not tell in time. Sending the change again with the same id
// is safe.
type UnclearError struct {
	ID  string
	Err error
}

// Error implements error.
func (e *UnclearError) Error() string {
	return fmt.Sprintf("change %s may or may not have been accepted: %v", e.ID, e.Err)
}

// Unwrap returns the platform's error.
func (e *UnclearError) Unwrap() error { return e.Err }
