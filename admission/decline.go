package admission

import "github.com/cornelyard/cornelyard/ident"

// DeclineCause is the reason why a grant was not used.
type DeclineCause string

const (
	// DeclineExpired means that the lease of the grant had expired.
	DeclineExpired DeclineCause = "expired"
	// DeclineDial means that the target could not be dialled; no byte was sent.
	DeclineDial DeclineCause = "dial"
	// DeclineDraining means that the target refused new work before it ran
	// anything.
	DeclineDraining DeclineCause = "leaving"
	// DeclineClaim means that the idempotency key could not be claimed.
	DeclineClaim DeclineCause = "claim"
	// DeclineTrial means that the request's content is a suspect and may not run now.
	DeclineTrial DeclineCause = "trial"
	// DeclineCancelled means that the caller disconnected before the dispatch.
	DeclineCancelled DeclineCause = "cancelled"
)

// Decline returns an unused grant.
type Decline struct {
	ID     ident.Request
	Target ident.Target
	Cause  DeclineCause
}
