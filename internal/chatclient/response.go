package chatclient

import (
	"time"
)

// Response is what a caller received for a chat completion.
type Response struct {
	ResponseMetadata
	Content string
	Tokens  int
	// Whole is set if the response is complete.
	Whole bool
	// Err is the error in the response, from its body or its last event.
	Err *APIError
	// FirstToken and Total are measured from the start of the call.
	FirstToken time.Duration
	Total      time.Duration
}
