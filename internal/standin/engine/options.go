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
	// PrefillRate is the prompt tokens computed per second.
	PrefillRate float64
	// DecodeGap is the time between tokens of a lone request.
	DecodeGap time.Duration
	// GapGrowth is what each further request in the batch adds to the gap, as a
	// part of DecodeGap.
	GapGrowth float64
	// MaxBatch limits the requests that run at once; others wait in the engine.
	MaxBatch int
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens.
	CacheBlocks int
	// CrashMarker is the text in a prompt that crashes the engine.
	CrashMarker string
	// Crash is called when a prompt crashes the engine. It must end the process
	// or close everything that the engine serves.
	Crash func()
	// ResumeWindow is how long a stream runs on without a reader.
	ResumeWindow time.Duration
	// LoadLag is the age of the load reports.
	LoadLag time.Duration
	// Journal, if set, gets the id of each request that is taken for execution.
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
