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

// Options configures Claims. Zero durations mean the defaults.
type Options struct {
	Table   storage.Table
	Objects storage.Objects
	Host    ident.Host
	// Incarnation tells this process from earlier ones of the host.
	Incarnation uint64
	// Alive reports whether that process of a host may still be running. If it
	// is nil, every claimer counts as running.
	Alive  func(host ident.Host, incarnation uint64) bool
	Logger *log.Logger
	// LookupTimeout bounds one read.
	LookupTimeout time.Duration
	// CommitTimeout bounds one transaction.
	CommitTimeout time.Duration
	// ClaimTimeout bounds a claim, with all reads and tries.
	ClaimTimeout time.Duration
	// StopTimeout bounds how long Run waits for unfinished writes at its end.
	StopTimeout time.Duration
}

func (o Options) withDefaults() Options {
	o.LookupTimeout = orDefault(o.LookupTimeout, defaultLookupTimeout)
	o.CommitTimeout = orDefault(o.CommitTimeout, defaultCommitTimeout)
	o.ClaimTimeout = orDefault(o.ClaimTimeout, defaultClaimTimeout)
	o.StopTimeout = orDefault(o.StopTimeout, defaultStopTimeout)
	if o.Alive == nil {
		o.Alive = func(ident.Host, uint64) bool { return true }
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
