package cli

// terminated says that there is nothing more to do.
type terminated struct {
	status ExitStatus
}

// Error implements error.
func (e *terminated) Error() string { return "ended" }
