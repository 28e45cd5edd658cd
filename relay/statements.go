package relay

import (
	"time"

	"github.com/cornelyard/cornelyard/targetlimit"
)

// Statements is what one response says about its target, beside the request that it answers.
type Statements struct {
	// Limit is the requests per second that the target takes.
	Limit targetlimit.Statement
	// Leaving says that the target is about to end.
	Leaving bool
	// Pause is how long the target wants no more requests from this host, or zero.
	Pause time.Duration
}
