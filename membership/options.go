package membership

import (
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	// defaultHostListInterval is the interval at which the platform's host list is
	// read.
	defaultHostListInterval = 2 * time.Second
	// hostListTimeout is the timeout of one read of the host list.
	hostListTimeout = 2 * time.Second
)

// Options configures a Tracker.
type Options struct {
	// Self describes this host. Its Incarnation is that of this process.
	Self Member
	// HostList is the platform's host list; nil if there is none.
	HostList storage.HostList
	// HostListInterval is the interval at which the list is read; zero means 2 s.
	HostListInterval time.Duration
	Timing           config.Timing
	// Recorder, Logger and Scope may be nil.
	Recorder timeline.Recorder
	Logger   *log.Logger
	Scope    tally.Scope
}

func (o *Options) setDefaults() {
	if o.HostListInterval <= 0 {
		o.HostListInterval = defaultHostListInterval
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
	if o.Logger == nil {
		o.Logger = logging.Discard().For("membership")
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
}
