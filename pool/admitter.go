package pool

import (
	"context"

	"github.com/cornelyard/cornelyard/admission"
)

// Admitter gets a request a slot on a target.
type Admitter interface {
	// Acquire waits until r is granted a target. It returns a *outcome.Refusal
	// if r is refused, and ctx's error if ctx ends first; r then never runs. A
	// request whose grant was declined may be acquired again.
	Acquire(ctx context.Context, r admission.Request) (Grant, error)
}
