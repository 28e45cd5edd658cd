package faultrun

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("faultrun")

// Options configures a run.
type Options struct {
	// Seed determines the fault schedules and the calls.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Callers is the number of callers, each with one call at a time.
	Callers int
}

const defaultCallers = 24

func (o Options) withDefaults() Options {
	if o.Callers == 0 {
		o.Callers = defaultCallers
	}
	return o
}
