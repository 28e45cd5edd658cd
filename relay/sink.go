package relay

import "net/http"

// Sink receives the response to one request for the caller. Its methods are called
// from one goroutine.
type Sink interface {
	// WriteHead sends the status and the header. Length is -1 if it is unknown.
	WriteHead(status int, header http.Header, length int64) error
	// Write sends a part of the body without buffering it.
	Write(p []byte) error
}
