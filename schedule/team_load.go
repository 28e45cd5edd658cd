package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// TeamLoad is what one team uses and wants of a pool whose capacity is scarce, at one host or
// over all hosts of a data centre.
type TeamLoad struct {
	Pool ident.Pool
	Team ident.Team
	Rank Rank
	// Used is the exponentially decayed sum of the predicted slot time of the requests
	// dispatched lately.
	Used time.Duration
	// Queued is the predicted slot time of the queued requests. It is zero unless the sender
	// found the capacity to be scarce itself.
	Queued time.Duration
}
