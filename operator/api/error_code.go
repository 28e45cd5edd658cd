package api

import "net/http"

// ErrorCode is the reason why a request was refused.
type ErrorCode string

const (
	// BadRequest: the request cannot be decoded.
	BadRequest ErrorCode = "bad-request"
	// Unauthorized: the bearer token is missing or unknown.
	Unauthorized ErrorCode = "unauthorized"
	// Forbidden: the token is not authorized for this request.
	Forbidden ErrorCode = "forbidden"
	// NotFound: there is no such path or version.
	NotFound ErrorCode = "not-found"
	// Findings: the change failed validation; nothing was changed.
	Findings ErrorCode = "findings"
	// Conflict: the same documents were changed concurrently; nothing was changed.
	Conflict ErrorCode = "conflict"
	// Unavailable: the platform cannot be reached; nothing was changed.
	Unavailable ErrorCode = "unavailable"
	// OutcomeUnknown: the change may or may not have been accepted. It can be
	// retried with the same ID.
	OutcomeUnknown ErrorCode = "unclear"
	// Internal: the host had an internal error.
	Internal ErrorCode = "internal"
)

// Status returns the HTTP status code for the error code.
func (c ErrorCode) Status() int {
	switch c {
	case BadRequest:
		return http.StatusBadRequest
	case Unauthorized:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case NotFound:
		return http.StatusNotFound
	case Findings:
		return http.StatusUnprocessableEntity
	case Conflict:
		return http.StatusConflict
	case Unavailable:
		return http.StatusServiceUnavailable
	case OutcomeUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}
