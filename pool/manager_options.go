package pool

import (
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/peer"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/usage"
)

// ManagerOptions configures a Manager. All fields are required.
type ManagerOptions struct {
	Host       ident.Host
	DataCentre ident.DataCentre
	Members    membership.Source
	Settings   settings.Source
	// Hosts is the newest known host list; it is read often and must be cheap.
	Hosts  HostSource
	Sender peer.Sender
	// LoadReader reads the load reports of targets.
	LoadReader LoadReader
	Recorder   timeline.Recorder
	// Usage takes the account of all requests of the owned pools.
	Usage  *usage.Aggregator
	Scope  tally.Scope
	Logger *log.Logger
	// GrantLease is how long a grant may wait for its dispatch.
	GrantLease time.Duration
	// Now reads the clock.
	Now func() time.Time
}

// HostSource gives the newest known host list.
type HostSource interface {
	// Entries returns the list; it must not be changed.
	Entries() []storage.HostEntry
	// Changed returns a channel that is closed when the list is replaced.
	Changed() <-chan struct{}
}
