package settings

import (
	"time"

	"github.com/cornelyard/cornelyard/storage"
)

const (
	// unavailableLimit is how long a change waits for a platform that is down,
	// as long as none of its commits is unclear.
	maxUnavailableTime = time.Second
	// defaultApplyTimeout bounds one change with its retries.
	defaultApplyTimeout = 10 * time.Second

	minRetryInterval = 10 * time.Millisecond
	maxRetryInterval = 500 * time.Millisecond
)

// StoreOptions configures a Store.
type StoreOptions struct {
	Table storage.Table
	// Watcher gets each change that is accepted here at once; nil means none.
	Watcher *Watcher
	// Timeout bounds one change with its retries. It defaults to 10 seconds.
	Timeout time.Duration
	// Now is the clock for the history. It defaults to time.Now.
	Now func() time.Time
}

func (o StoreOptions) withDefaults() StoreOptions {
	if o.Timeout <= 0 {
		o.Timeout = defaultApplyTimeout
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
