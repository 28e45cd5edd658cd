package operator

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/pool"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/usage"
)

// PoolSource tells about the pools that this host owns.
type PoolSource interface {
	Statuses() []pool.Status
}

// TimelineSource gives this host's events.
type TimelineSource interface {
	// Events returns the kept events recorded after since, oldest first. An
	// empty request selects all; a limit of zero means no limit.
	Events(since timeline.Timestamp, request ident.Request, limit int) []timeline.Event
	// Dropped counts the events that were overwritten.
	Dropped() uint64
}

// UsageSource counts this host's usage and keeps the last reports of others, so
// that those of lost hosts are not lost with them.
type UsageSource interface {
	Report(now time.Time) usage.Report
	Foreign() []usage.Report
	Merge(report usage.Report)
}
