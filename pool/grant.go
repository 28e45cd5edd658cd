package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/settings"
)

// Grant is one slot of a target, held for one request. Exactly one of Decline
// and End must be called.
type Grant interface {
	// Target is where the request may be dispatched.
	Target() settings.Target
	// Expires is when the right to begin the dispatch ends, on the local
	// monotonic clock. The holder checks it right before the dispatch.
	Expires() time.Time
	// Preempted delivers the final answer of a request that must be stopped.
	Preempted() <-chan *outcome.Refusal
	// Decline gives the slot back; no byte was sent to the target.
	Decline(cause admission.DeclineCause)
	// Progress reports on the running request. It does not block.
	Progress(p admission.Progress)
	// End gives the slot back after the dispatch.
	End(e admission.End)
}
