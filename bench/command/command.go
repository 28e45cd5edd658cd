// Package command ties the measurements to the command line.
package command

import (
	"context"

	"github.com/cornelyard/cornelyard/bench/report"
)

// Command is one measurement.
type Command interface {
	// Name is the full name on the command line.
	Name() string
	// Run measures. It stops early if ctx ends.
	Run(ctx context.Context) (report.Report, error)
}
