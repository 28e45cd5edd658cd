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
	// Brittle says that the target falls over if it has to turn requests away.
	Brittle bool
	// Authentic says that the target itself sent the response, so that what it does not state
	// does not hold.
	Authentic bool
	// Pause is how long the target wants no more requests from this host, or zero.
	Pause time.Duration
}
