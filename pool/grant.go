package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/settings"
)

// Grant is one slot on a target, reserved for one request. The holder must call
// exactly one of Decline and End.
type Grant interface {
	// Target returns the target to which the request may be dispatched.
	Target() settings.Target
	// Expires returns the time, on the local monotonic clock, by which the dispatch
	// must begin. The holder checks it immediately before the dispatch.
	Expires() time.Time
	// Suspects returns the digests of the request's content that may crash targets. If there
	// are any, it may be dispatched only if no other run with any of them is in flight on
	// any host.
	Suspects() []quarantine.Digest
	// Preempted delivers a refusal if the running request must be stopped; the
	// refusal is then the request's final response.
	Preempted() <-chan *outcome.Refusal
	// Decline returns the slot without use: no byte was sent to the target.
	Decline(cause admission.DeclineCause)
	// Progress reports the progress of the running request. It does not block.
	Progress(p admission.Progress)
	// End returns the slot after the dispatch.
	End(e admission.End)
}
