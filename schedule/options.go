package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Options configures a Scheduler.
type Options struct {
	// Host is the name of this host, and DataCentre its data centre.
	Host       ident.Host
	DataCentre ident.DataCentre
	// FairShares says that teams of one rank share scarce capacity by the time that their requests
	// take. Otherwise requests are ordered without regard to the team.
	FairShares bool
	// SharedClock returns the time of a clock that all hosts share, in milliseconds, or 0 while it
	// is unknown. Without it, refusals reserve no capacity.
	SharedClock func(now time.Time) int64
	// ConnectionIdleTime is how long this host keeps idle connections to targets. Zero means that this
	// is unknown; the cost of connections then does not count.
	ConnectionIdleTime time.Duration
	// ConstantDistances disables measured distances. Simulations use it for comparisons.
	ConstantDistances bool
	// Random returns numbers in [0, 1); nil selects the global generator.
	Random func() float64
}
