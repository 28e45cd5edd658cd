package outcome

import "net/http"

// Reason is why a request was refused or stopped.
type Reason string

const (
	// Shed: refused because of insufficient capacity.
	Shed Reason = "shed"
	// QuotaExceeded: the team's quota is exhausted.
	QuotaExceeded Reason = "quota-exceeded"
	// Infeasible: even an idle pool could not meet the deadline.
	Infeasible Reason = "infeasible"
	// Preempted: stopped after its start in favour of a request of a higher tier.
	Preempted Reason = "preempted"
	// NoTarget: the pool has no usable target.
	NoTarget Reason = "no-target"
	// TargetsLimited: the targets take no more requests per second.
	TargetsLimited Reason = "targets-limited"
	// NoVersion: no target of the software version that began the stream is left.
	NoVersion Reason = "no-version"
	// VersionUnknown: it is not known for sure at which software version the stream began.
	VersionUnknown Reason = "version-unknown"
	// Quarantined: the request's digest is suspected of crashing targets.
	Quarantined Reason = "quarantined"
	// OnTrial: another run shows whether requests with this content crash targets.
	OnTrial Reason = "on-trial"
	// DeadlineExceeded: the deadline passed before the response was complete.
	DeadlineExceeded Reason = "deadline-exceeded"
	// Unauthorized: the bearer token is missing or unknown.
	Unauthorized Reason = "unauthorized"
	// TierForbidden: the team may not use the requested tier.
	TierForbidden Reason = "tier-forbidden"
	// BadRequest: the request is malformed.
	BadRequest Reason = "bad-request"
	// UnknownPool: no pool serves the requested model or service.
	UnknownPool Reason = "unknown-pool"
	// TooLarge: the body exceeds the limit.
	TooLarge Reason = "too-large"
	// KeyMissing: a non-idempotent request came without an idempotency key.
	KeyMissing Reason = "key-missing"
	// KeyConflict: the idempotency key was used before with another body.
	KeyConflict Reason = "key-conflict"
	// ClaimHeld: a request with the same idempotency key is in progress.
	ClaimHeld Reason = "claim-held"
	// ClaimUnavailable: the platform could not record the claim on the idempotency key.
	ClaimUnavailable Reason = "claim-unavailable"
	// ClaimUnknown: the holder of the claim is gone, and the result is unknown.
	ClaimUnknown Reason = "claim-unknown"
	// TargetFailed: the target failed after the request had been sent.
	TargetFailed Reason = "target-failed"
	// Draining: this host is draining.
	Draining Reason = "draining"
	// EntryOverloaded: this host has reached a limit of its own.
	EntryOverloaded Reason = "entry-overloaded"
	// CallerDisconnected: the caller closed its connection.
	CallerDisconnected Reason = "caller-gone"
	// NotReady: this host has not loaded its settings yet.
	NotReady Reason = "not-ready"
)

// statusCallerDisconnected is the non-standard status, introduced by nginx, for a
// closed client connection.
const statusCallerDisconnected = 499

// Status returns the HTTP status code for the reason.
func (r Reason) Status() int {
	switch r {
	case Shed, EntryOverloaded, QuotaExceeded:
		return http.StatusTooManyRequests
	case Infeasible, DeadlineExceeded:
		return http.StatusGatewayTimeout
	case Preempted, NoTarget, TargetsLimited, NoVersion, VersionUnknown, OnTrial, Draining, ClaimUnavailable, NotReady:
		return http.StatusServiceUnavailable
	case Quarantined, KeyConflict:
		return http.StatusUnprocessableEntity
	case Unauthorized:
		return http.StatusUnauthorized
	case TierForbidden:
		return http.StatusForbidden
	case BadRequest, KeyMissing:
		return http.StatusBadRequest
	case UnknownPool:
		return http.StatusNotFound
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case ClaimHeld, ClaimUnknown:
		return http.StatusConflict
	case CallerDisconnected:
		return statusCallerDisconnected
	default:
		return http.StatusBadGateway
	}
}
