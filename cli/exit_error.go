package cli

// exitError ends a command with the given exit status. If its message is empty,
// nothing is printed.
type exitError struct {
	status  ExitStatus
	message string
}

// Error implements error.
func (e *exitError) Error() string { return e.message }
