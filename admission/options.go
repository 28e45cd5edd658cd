package admission

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/usage"
)

// Options configures a Scheduler.
type Options struct {
	DataCentre ident.DataCentre
	Pool       ident.Pool
	// Usage records the usage of all requests. It may be nil.
	Usage *usage.Aggregator
	// Crashes holds the known crashes of the pool's targets. It may be shared by successive
	// schedulers; nil selects a new one.
	Crashes *quarantine.Tracker
	// Seed seeds the jitter of backoffs, which must differ between hosts.
	Seed uint64
}
