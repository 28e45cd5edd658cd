package relay

import (
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

const (
	// notReadyRetry is when to come back to a host without a configuration.
	notReadyRetry = 300 * time.Millisecond
	// rejectedRetry is when to come back after a target refused the request.
	rejectedRetry = 200 * time.Millisecond
)

// status returns the HTTP status of a refusal. Statuses 429 and 503 promise that
// the request did not run; they are used for nothing else.
func status(r *outcome.Refusal) int {
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

func interrupted(reason outcome.Reason, message string) *outcome.Refusal {
	return &outcome.Refusal{Outcome: outcome.Unknown, Reason: reason, Message: message}
}
