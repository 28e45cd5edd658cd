package overhead

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/bench/command"
	"github.com/cornelyard/cornelyard/bench/report"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

type overheadCommand struct {
	name    string
	options options
}

// Register adds the command to the application.
func Register(app *kingpin.Application) command.Command {
	clause := app.Command("overhead", "Latency added to a direct call to an engine.")
	c := &overheadCommand{name: clause.FullCommand()}
	clause.Flag("rate", "Mean number of calls per second.").Default("200").Float64Var(&c.options.rate)
	clause.Flag("duration", "Length of one phase.").Default("5s").DurationVar(&c.options.duration)
	clause.Flag("rounds", "Number of pairs of phases, direct and through the hosts.").Default("4").IntVar(&c.options.rounds)
	clause.Flag("hosts", "Number of hosts.").Default("3").IntVar(&c.options.hosts)
	clause.Flag("tokens", "Length of an answer.").Default("8").IntVar(&c.options.tokens)
	clause.Flag("decode-gap", "The engine's time between tokens.").Default("1ms").DurationVar(&c.options.decodeGap)
	clause.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&c.options.seed)
	return c
}

// Name implements command.Command.
func (c *overheadCommand) Name() string { return c.name }

// Run implements command.Command.
func (c *overheadCommand) Run(ctx context.Context) (report.Report, error) {
	cluster, err := testbed.Start(ctx, c.options.spec())
	defer cluster.Stop()
	if err != nil {
		fmt.Fprint(os.Stderr, cluster.Logs())
		return nil, err
	}
	return newMeasurement(c.options, cluster).run(ctx)
}
