package pool

import (
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/peer"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/usage"
)

// ManagerOptions configures a Manager. All fields are required.
type ManagerOptions struct {
	Host       ident.Host
	DataCentre ident.DataCentre
	Members    membership.Source
	Settings   settings.Source
	// Hosts is the latest host list. It is read often, so access must be cheap.
	Hosts  HostSource
	Sender peer.Sender
	// LoadReader fetches the load reports of targets.
	LoadReader LoadReader
	Recorder   timeline.Recorder
	// Usage accounts for all requests of the owned pools.
	Usage  *usage.Aggregator
	Scope  tally.Scope
	Logger *log.Logger
	// GrantLease is the time within which a granted request must be dispatched.
	GrantLease time.Duration
	// Now returns the current time.
	Now func() time.Time
}
