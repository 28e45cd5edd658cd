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
	// defaultHeadTimeout limits the read of the head version, which shows whether the
	// platform is available.
	defaultHeadTimeout = time.Second
	// noPeerHeadTimeout limits that read while no peer can provide the settings.
	noPeerHeadTimeout = 2 * time.Second
	// loadTimeout limits the reads of one new version in total.
	loadTimeout = 10 * time.Second
)

// FetchFunc requests an export of a version above have from the other hosts. It
// returns nil if none of them has one.
type FetchFunc func(ctx context.Context, have uint64) ([]byte, error)

// WatcherOptions configures a Watcher.
type WatcherOptions struct {
	Table storage.Table
	// Interval is the time between two reads of the head version. It defaults to 1
	// second.
	Interval time.Duration
	// Jitter is the fraction, from 0 to 1, by which the interval varies randomly in
	// both directions.
	Jitter float64
	// HeadTimeout limits the read of the head version while peers may have a newer
	// one; on a timeout the peers are asked instead. It defaults to 1 second.
	HeadTimeout time.Duration
	// Fetch requests settings from the other hosts; nil means that there are none.
	Fetch FetchFunc
	// Recorder records an event for each version in force; it is optional.
	Recorder timeline.Recorder
	// Logger receives log lines; it is optional.
	Logger *log.Logger
	// Scope receives the metrics; it is optional.
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
