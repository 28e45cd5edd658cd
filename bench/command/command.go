// Package command ties the measurements to the command line.
package command

import (
	"context"

	"github.com/cornelyard/cornelyard/bench/report"
)

// Command is a measurement that can be run from the command line.
type Command interface {
	// Name returns the full command name.
	Name() string
	// Run runs the measurement. It stops early if ctx ends.
	Run(ctx context.Context) (report.Report, error)
}
