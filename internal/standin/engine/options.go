package engine

import (
	"time"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// Defaults of Options.
const (
	DefaultPrefillRate  = 20_000 // tokens per second
	DefaultDecodeGap    = 10 * time.Millisecond
	DefaultGapGrowth    = 0.05
	DefaultMaxBatch     = 32
	DefaultCacheBlocks  = 1024
	DefaultCrashMarker  = "[[crash]]"
	DefaultResumeWindow = time.Second
	DefaultTokens       = 16
	DefaultLoadLag      = 500 * time.Millisecond
)

// Options configures an Engine. A zero value means the default; a negative
// duration, rate or size means none.
type Options struct {
	// PrefillRate is the number of prompt tokens computed per second.
	PrefillRate float64
	// DecodeGap is the time between tokens of a request that runs alone.
	DecodeGap time.Duration
	// GapGrowth is the fraction of DecodeGap that each additional request in the batch
	// adds to the gap.
	GapGrowth float64
	// MaxBatch limits the number of concurrent requests; further ones are queued in
	// the engine.
	MaxBatch int
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens.
	CacheBlocks int
	// CrashMarker is prompt text that crashes the engine.
	CrashMarker string
	// Crash is called when a prompt crashes the engine. It must end the process
	// or close everything that the engine serves.
	Crash func()
	// ResumeWindow is how long a stream continues without a reader.
	ResumeWindow time.Duration
	// LoadLag is the age of the load reports.
	LoadLag time.Duration
	// Journal, if set, records the ID of each request that is accepted for execution.
	Journal *standin.Journal
}

func (o Options) withDefaults() Options {
	o.PrefillRate = orDefault(o.PrefillRate, DefaultPrefillRate)
	o.DecodeGap = orDefault(o.DecodeGap, DefaultDecodeGap)
	o.GapGrowth = orDefault(o.GapGrowth, DefaultGapGrowth)
	o.MaxBatch = orDefault(o.MaxBatch, DefaultMaxBatch)
	o.CacheBlocks = orDefault(o.CacheBlocks, DefaultCacheBlocks)
	o.ResumeWindow = orDefault(o.ResumeWindow, DefaultResumeWindow)
	o.LoadLag = orDefault(o.LoadLag, DefaultLoadLag)
	if o.CrashMarker == "" {
		o.CrashMarker = DefaultCrashMarker
	}
	if o.Crash == nil {
		o.Crash = func() {}
	}
	return o
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	switch {
	case value == 0:
		return fallback
	case value < 0:
		return 0
	default:
		return value
	}
}
