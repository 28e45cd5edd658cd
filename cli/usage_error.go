package cli

// usageError reports an invalid command line.
type usageError struct {
	message string
}

// Error implements error.
func (e *usageError) Error() string { return e.message }
