package api

// ErrorReply is the response body of a refused request.
type ErrorReply struct {
	Error *Error `json:"error"`
}
