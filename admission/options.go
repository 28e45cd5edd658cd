package admission

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/usage"
)

// Options configures a Scheduler.
type Options struct {
	DataCentre ident.DataCentre
	Pool       ident.Pool
	// Usage records the usage of all requests. It may be nil.
	Usage *usage.Aggregator
	// Seed seeds the jitter of backoffs, which must differ between hosts.
	Seed uint64
}
