package relay

import (
	"net/http"
	"time"
)

// Sink receives the response to one request for the caller. Its methods are called
// from one goroutine.
type Sink interface {
	// WriteHead sends the status and the header. Length is -1 if it is unknown. No write
	// may block past the deadline.
	WriteHead(status int, header http.Header, length int64, deadline time.Time) error
	// Write sends a part of the body without buffering it.
	Write(p []byte) error
}
