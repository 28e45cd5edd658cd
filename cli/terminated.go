package cli

// terminated is the error that parse returns if kingpin ended the program, such as
// after showing help.
type terminated struct {
	status ExitStatus
}

// Error implements error.
func (e *terminated) Error() string { return "ended" }
