package schedule

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/targetlimit"
)

// TargetLimit is what a host knows of the limit that a target states, and the rate that it
// claims of it.
type TargetLimit struct {
	Target ident.Target
	targetlimit.Observation
	// Claim is in requests per second.
	Claim float64
}
