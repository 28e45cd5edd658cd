package settings

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	defaultPollInterval = time.Second
	// defaultHeadTimeout bounds the read that shows whether the platform
	// answers.
	defaultHeadTimeout = time.Second
	// slowHeadTimeout bounds that read while no peer can help.
	noPeerHeadTimeout = 2 * time.Second
	// loadTimeout bounds all reads of one new version.
	loadTimeout = 10 * time.Second
)

// FetchFunc asks the other hosts for an export of a version above have. It returns
// nothing if they have none.
type FetchFunc func(ctx context.Context, have uint64) ([]byte, error)

// WatcherOptions configures a Watcher.
type WatcherOptions struct {
	Table storage.Table
	// Interval is the time between two reads of the head version. It defaults
	// to 1 second.
	Interval time.Duration
	// Jitter is the part of the interval, from 0 to 1, by which it is varied.
	Jitter float64
	// HeadTimeout is how long the platform may take to tell the head version
	// before the peers are asked, if they have a newer one. It defaults to 1
	// second.
	HeadTimeout time.Duration
	// Fetch asks the other hosts; nil means that there are none.
	Fetch FetchFunc
	// Recorder takes an event for each version in force; nil means none.
	Recorder timeline.Recorder
	// Logger takes log lines; nil means none.
	Logger *log.Logger
	// Scope takes the metrics; nil means none.
	Scope tally.Scope
}

func (o WatcherOptions) withDefaults() WatcherOptions {
	if o.Interval <= 0 {
		o.Interval = defaultPollInterval
	}
	if o.HeadTimeout <= 0 {
		o.HeadTimeout = defaultHeadTimeout
	}
	if o.Fetch == nil {
		o.Fetch = func(context.Context, uint64) ([]byte, error) { return nil, nil }
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = logging.Discard().For("settings")
	}
	return o
}
