package entry

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/claim"
	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/pool"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/target"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/trial"
)

const (
	defaultMaxBodyBytes      = 4 << 20
	defaultMaxRequests       = 4096
	defaultMaxConnections    = 8192
	defaultStreamBufferBytes = 256 << 10

	defaultDeadline = time.Minute
)

// Options configures an Entry.
type Options struct {
	// Address is the listen address for callers, as IP:port.
	Address string
	Host    ident.Host
	// Incarnation distinguishes this process from earlier processes of the host.
	Incarnation uint64
	Settings    settings.Source
	Admitter    pool.Admitter
	Targets     *target.Client
	// Claims may be nil, in which case non-idempotent requests are refused.
	Claims *claim.Manager
	// Trials permits the runs of suspects. If it is nil, every grant permits its run.
	Trials   *trial.Ledger
	Recorder timeline.Recorder
	Limits   config.Limits
	Timing   config.Timing
	Scope    tally.Scope
	Logger   *log.Logger
	// TargetDraining reports whether a target is draining. The result must be current
	// even if this process was paused before the call. It may be nil.
	TargetDraining func(ctx context.Context, target ident.Target) bool
	// Ready returns nil if this host is ready, else the reason. It may be nil.
	Ready func() error
}

// withDefaults returns o with defaults for unset fields.
func (o Options) withDefaults() Options {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.ErrorLevel}
	}
	if o.TargetDraining == nil {
		o.TargetDraining = func(context.Context, ident.Target) bool { return false }
	}
	if o.Ready == nil {
		o.Ready = func() error { return nil }
	}
	o.Limits = limitsWithDefaults(o.Limits)
	return o
}

func limitsWithDefaults(l config.Limits) config.Limits {
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultMaxBodyBytes
	}
	if l.MaxRequests <= 0 {
		l.MaxRequests = defaultMaxRequests
	}
	if l.MaxConnections <= 0 {
		l.MaxConnections = defaultMaxConnections
	}
	if l.StreamBufferBytes <= 0 {
		l.StreamBufferBytes = defaultStreamBufferBytes
	}
	return l
}
