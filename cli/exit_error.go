package cli

// exitError ends a command with a status of its own. Its message may be empty.
type exitError struct {
	status  ExitStatus
	message string
}

// Error implements error.
func (e *exitError) Error() string { return e.message }
