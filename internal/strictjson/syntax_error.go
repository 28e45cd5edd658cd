package strictjson

// syntaxError is a fault that ends the parsing of a text.
type syntaxError struct {
	offset  int
	message string
}

// Error implements error.
func (e *syntaxError) Error() string { return e.message }
