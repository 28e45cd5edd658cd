package relay

import (
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

const (
	// notReadyRetryAfter is the Retry-After of a host without a configuration.
	notReadyRetryAfter = 300 * time.Millisecond
	// outdatedRetryAfter is the Retry-After of a host whose configuration may be outdated.
	outdatedRetryAfter = 500 * time.Millisecond
	// rejectedRetryAfter is the Retry-After if the targets rejected the request or its
	// deadline passed.
	rejectedRetryAfter = 200 * time.Millisecond
)

// refusalStatus returns the HTTP status of a refusal. Callers take 429 and 503 as a
// guarantee that the request did not run, so no other refusal gets them.
func refusalStatus(r *outcome.Refusal) int {
	switch r.Reason {
	case outcome.UnknownPool:
		return http.StatusNotFound
	case outcome.Unauthorized:
		return http.StatusUnauthorized
	case outcome.BadRequest:
		return http.StatusBadRequest
	case outcome.TooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.QuotaExceeded:
		return http.StatusTooManyRequests
	}
	if r.Outcome == outcome.NotRun {
		return http.StatusServiceUnavailable
	}
	if r.Reason == outcome.DeadlineExceeded {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func unknownOutcome(reason outcome.Reason, message string) *outcome.Refusal {
	return &outcome.Refusal{Outcome: outcome.Unknown, Reason: reason, Message: message}
}
