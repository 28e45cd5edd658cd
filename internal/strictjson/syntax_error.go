package strictjson

// syntaxError is a fault that makes the text impossible to parse.
type syntaxError struct {
	offset  int
	message string
}

// Error implements error.
func (e *syntaxError) Error() string { return e.message }
