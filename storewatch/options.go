package storewatch

import (
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/freshness"
)

// Options configures a Watcher.
type Options struct {
	Store Store
	Table string
	// CoalesceDelay is the time from a change to the next call, so that changes close together are read
	// with one call. It doubles up to MaxCoalesceDelay while changes follow each other without a pause.
	CoalesceDelay    time.Duration
	MaxCoalesceDelay time.Duration
	// StartsInSeries has the first call for changes wait for MaxCoalesceDelay too: hosts and targets
	// mostly start together, so that the first list is followed by changes. It does not wait if that
	// list is empty, since a host without targets can serve nothing.
	StartsInSeries bool
	// PollTime is how long a call waits for a change, unless there is a plan, in which the table is the
	// one that is followed.
	PollTime time.Duration
	Plan     *freshness.Plan
	Followed freshness.Table
	Logger   *log.Logger
	// OnChange is called with all values, by key, after each change; it must not modify them.
	OnChange func(values map[string][]byte)
	// OnCall is called after each call with whether the store responded.
	OnCall func(responded bool)
}
