package freshness

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Options configures a Plan.
type Options struct {
	// Host is the name of this host.
	Host ident.Host
	// Contact is how long the links of a host must have worked until it is expected to know of each
	// change; zero means that it isn't known.
	Contact time.Duration
	// Clock returns the reading of the store's clock in milliseconds, or 0 while it is unknown. All
	// hosts state moments by it.
	Clock func(now time.Time) int64
	// OnConfirm, if not nil, is called when a table's rows have been shown to be the newest at a moment, once
	// they are applied.
	OnConfirm func(t Table, asOf time.Time)
}
