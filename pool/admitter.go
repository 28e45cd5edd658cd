package pool

import (
	"context"

	"github.com/cornelyard/cornelyard/admission"
)

// Admitter obtains slots on targets for requests.
type Admitter interface {
	// Acquire waits until r is granted a slot on a target. It returns an
	// *outcome.Refusal if r is refused, or the error of ctx if ctx ends first; in
	// both cases r never runs. A request whose grant was declined may be acquired
	// again.
	Acquire(ctx context.Context, r admission.Request) (Grant, error)
}
