// Package recovery measures how long the system takes to recover from a failure: from
// killing the owner of a pool, from killing an entry host whose requests hold all slots,
// and from the partition of a data centre. The same run measures a baseline for each in
// the system without that failure.
package recovery

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/bench/report"
)

// Command is the recovery command.
type Command struct {
	clause *kingpin.CmdClause
	rounds int
}

// Register adds the command to the application.
func Register(app *kingpin.Application) *Command {
	c := &Command{clause: app.Command("recovery", "Time to go on after a failure, with the production timing.")}
	c.clause.Flag("rounds", "How often each failure is brought about.").Default("5").IntVar(&c.rounds)
	return c
}

// Name implements command.Command.
func (c *Command) Name() string { return c.clause.FullCommand() }

// Run implements command.Command.
func (c *Command) Run(ctx context.Context) (report.Report, error) {
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
