package entry

import "net/http"

// responseHead is the head of an answer on its way to the caller.
type responseHead struct {
	status int
	header http.Header
	// stream says that errors can be told inside the body, as events.
	stream bool
	// length is the body's length, or -1 if it is not known.
	length int64
	// verified says that the body is known to be whole before it is passed on.
	verified bool
}
