package claim

import (
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/storage"
)

const (
	defaultLookupTimeout = time.Second
	defaultCommitTimeout = 2 * time.Second
	defaultClaimTimeout  = 3 * time.Second
	defaultStopTimeout   = 10 * time.Second
)

// Options configures a Manager. Zero durations select the defaults.
type Options struct {
	Table   storage.Table
	Objects storage.Objects
	Host    ident.Host
	// Incarnation distinguishes this process from earlier ones on the host.
	Incarnation uint64
	// Alive reports whether the holder of a claim may still be running. If Alive is nil,
	// every process is considered running.
	Alive  func(Holder) bool
	Logger *log.Logger
	// LookupTimeout is the timeout of one read.
	LookupTimeout time.Duration
	// CommitTimeout is the timeout of one transaction.
	CommitTimeout time.Duration
	// ClaimTimeout is the timeout of claiming a key, including all reads and retries.
	ClaimTimeout time.Duration
	// StopTimeout is how long Run waits for unfinished finalizations when it stops.
	StopTimeout time.Duration
}

func (o Options) withDefaults() Options {
	o.LookupTimeout = orDefault(o.LookupTimeout, defaultLookupTimeout)
	o.CommitTimeout = orDefault(o.CommitTimeout, defaultCommitTimeout)
	o.ClaimTimeout = orDefault(o.ClaimTimeout, defaultClaimTimeout)
	o.StopTimeout = orDefault(o.StopTimeout, defaultStopTimeout)
	if o.Alive == nil {
		o.Alive = func(Holder) bool { return true }
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.ErrorLevel}
	}
	return o
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
