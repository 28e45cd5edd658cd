package cli

// endedError says that there is nothing more to do.
type endedError struct {
	status ExitStatus
}

// Error implements error.
func (e *endedError) Error() string { return "ended" }
