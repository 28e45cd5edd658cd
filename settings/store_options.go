package settings

import (
	"time"

	"github.com/cornelyard/cornelyard/storage"
)

const (
	// maxUnavailableTime is how long a change is retried while the platform is
	// unavailable and no commit has an unknown outcome.
	maxUnavailableTime = time.Second
	// defaultApplyTimeout limits one change, including its retries.
	defaultApplyTimeout = 10 * time.Second

	minRetryInterval = 10 * time.Millisecond
	maxRetryInterval = 500 * time.Millisecond
)

// StoreOptions configures a Store.
type StoreOptions struct {
	Table storage.Table
	// Watcher, if not nil, puts each change accepted by this store into force
	// immediately.
	Watcher *Watcher
	// Timeout limits one change, including its retries. It defaults to 10 seconds.
	Timeout time.Duration
	// Now returns the time recorded in the history. It defaults to time.Now.
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
