package api

import "net/http"

// ErrorCode names why a request was refused.
type ErrorCode string

const (
	// BadRequest: the request cannot be read.
	BadRequest ErrorCode = "bad-request"
	// Unauthorized: the bearer token is missing or unknown.
	Unauthorized ErrorCode = "unauthorized"
	// Forbidden: the token does not allow this.
	Forbidden ErrorCode = "forbidden"
	// NotFound: there is no such path or version.
	NotFound ErrorCode = "not-found"
	// Findings: the change has faults; it is nowhere in force.
	Findings ErrorCode = "findings"
	// Conflict: others changed the same documents; nothing was changed.
	Conflict ErrorCode = "conflict"
	// Unavailable: the platform cannot be reached; nothing was changed.
	Unavailable ErrorCode = "unavailable"
	// OutcomeUnknown: the change may or may not have been accepted. It may be sent
	// again with the same id.
	OutcomeUnknown ErrorCode = "unclear"
	// Internal: the host failed.
	Internal ErrorCode = "internal"
)

// Status returns the HTTP status code that stands for the code.
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
