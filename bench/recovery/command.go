// Package recovery measures how long the system takes to go on after a failure:
// after the owner of a pool, or an entry that holds all slots, is killed, and
// after a data centre was cut off. Each figure stands beside the same step in the
// undisturbed system of the same run.
package recovery

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/bench/report"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

// Command is the measurement on the command line.
type Command struct {
	clause *kingpin.CmdClause
	rounds int
}

// Register adds the command.
func Register(app *kingpin.Application) *Command {
	c := &Command{clause: app.Command("recovery", "Time to go on after a failure, with the production timing.")}
	c.clause.Flag("rounds", "How often each failure is brought about.").Default("5").IntVar(&c.rounds)
	return c
}

// Name implements command.Command.
func (c *Command) Name() string { return c.clause.FullCommand() }

// Run implements command.Command.
func (c *Command) Run(ctx context.Context) (report.Report, error) {
	defer testbed.RemoveBinaries()
	m, err := start(ctx)
	defer m.cluster.Stop()
	if err != nil {
		return nil, err
	}
	result := &Report{Rounds: c.rounds}
	for _, failure := range m.failures() {
		figures, err := m.measure(ctx, failure, c.rounds)
		if err != nil {
			return nil, err
		}
		result.Failures = append(result.Failures, figures)
	}
	return result, nil
}
