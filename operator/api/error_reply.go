package api

// ErrorReply is the body of a refusal.
type ErrorReply struct {
	Error *Error `json:"error"`
}
