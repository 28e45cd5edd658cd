package admission

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/usage"
)

// Options configures a Scheduler.
type Options struct {
	DataCentre ident.DataCentre
	Pool       ident.Pool
	// Usage takes the account of all requests; nil means none is kept.
	Usage *usage.Aggregator
	// Seed makes the jitter of backoffs differ between hosts.
	Seed uint64
}
