package relay

import "net/http"

// Sink takes one answer on its way to the caller. Its methods are called from one
// goroutine.
type Sink interface {
	// WriteHead sends the head. Length is -1 if it is not known.
	WriteHead(status int, header http.Header, length int64) error
	// Write sends a part of the body at once.
	Write(p []byte) error
}
