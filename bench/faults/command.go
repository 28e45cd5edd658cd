// Package faults counts how often each promise is checked and violated under a seeded
// schedule of faults.
package faults

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/bench/report"
	"github.com/cornelyard/cornelyard/internal/faultrun"
)

// Command is the faults command.
type Command struct {
	clause  *kingpin.CmdClause
	options faultrun.Options
}

// Register adds the command to the application.
func Register(app *kingpin.Application) *Command {
	c := &Command{clause: app.Command("faults", "Random faults, two at a time, on a cluster of real processes.")}
	c.clause.Flag("seed", "Seed of the schedule and of the calls.").Default("1").Uint64Var(&c.options.Seed)
	c.clause.Flag("duration", "Time under faults.").Default("60s").DurationVar(&c.options.Duration)
	c.clause.Flag("callers", "Callers, each with one call at a time.").Default("24").IntVar(&c.options.Callers)
	return c
}

// Name implements command.Command.
func (c *Command) Name() string { return c.clause.FullCommand() }

// Run implements command.Command.
func (c *Command) Run(ctx context.Context) (report.Report, error) {
	result, err := faultrun.Run(ctx, c.options)
	if err != nil {
		return nil, err
	}
	return result, nil
}
