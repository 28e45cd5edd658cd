package chatclient

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
)

// ResponseMetadata is taken from the status and the headers of a response.
type ResponseMetadata struct {
	Status    int
	Outcome   outcome.Outcome
	Reason    outcome.Reason
	RequestID ident.Request
	// RetryAfter is zero if the response has no such header.
	RetryAfter time.Duration
	// Replayed is set if the response is the stored one of an earlier call.
	Replayed bool
}

func newResponseMetadata(response *http.Response) ResponseMetadata {
	header := response.Header
	return ResponseMetadata{
		Status:     response.StatusCode,
		Outcome:    outcome.Outcome(header.Get("X-Cornelyard-Outcome")),
		Reason:     outcome.Reason(header.Get("X-Cornelyard-Reason")),
		RequestID:  ident.Request(header.Get("X-Cornelyard-Request-Id")),
		RetryAfter: retryAfter(header),
		Replayed:   header.Get("X-Cornelyard-Replayed") == "true",
	}
}

// retryAfter prefers the header in milliseconds because it is more precise.
func retryAfter(header http.Header) time.Duration {
	if ms, err := strconv.Atoi(header.Get("Retry-After-Ms")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
