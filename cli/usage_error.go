package cli

// usageError says what is wrong with the command line.
type usageError struct {
	message string
}

// Error implements error.
func (e *usageError) Error() string { return e.message }
