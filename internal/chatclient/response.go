package chatclient

import (
	"time"
)

// Response is what a caller got.
type Response struct {
	ResponseMetadata
	Content string
	Tokens  int
	// Whole says that the answer ended as a whole one does.
	Whole bool
	// Err is the error that the answer holds, as its body or as its last event.
	Err *APIError
	// FirstToken and Total are times since the call began.
	FirstToken time.Duration
	Total      time.Duration
}
