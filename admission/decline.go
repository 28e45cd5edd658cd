package admission

import "github.com/cornelyard/cornelyard/ident"

// DeclineCause tells why a grant was not used.
type DeclineCause string

const (
	// DeclineExpired: the grant's lease had run out.
	DeclineExpired DeclineCause = "expired"
	// DeclineDial: the target could not be reached; no byte was sent.
	DeclineDial DeclineCause = "dial"
	// DeclineLeaving: the target refused new work before it ran anything.
	DeclineLeaving DeclineCause = "leaving"
	// DeclineClaim: the idempotency key could not be claimed.
	DeclineClaim DeclineCause = "claim"
	// DeclineCancelled: the caller went away before the dispatch.
	DeclineCancelled DeclineCause = "cancelled"
)

// Decline gives a grant back unused.
type Decline struct {
	ID     ident.Request
	Target ident.Target
	Cause  DeclineCause
}
