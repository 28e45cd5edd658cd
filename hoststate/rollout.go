package hoststate

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/rollout"
)

// Rollout is what a host, or the hosts of a data centre, know of the rollout of a pool.
type Rollout struct {
	Pool     ident.Pool
	Progress rollout.Progress
	// Report holds the sender's own evidence or, in an aggregate, that of all its hosts.
	Report rollout.Report
}
