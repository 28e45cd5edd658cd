package entry

import "net/http"

// responseHead is the status and header of a response to a caller.
type responseHead struct {
	status int
	header http.Header
	// stream is true if errors can be sent as events in the body.
	stream bool
	// length is the body's length in bytes, or -1 if unknown.
	length int64
	// verified is true if the body is known to be complete before it is sent.
	verified bool
}
