// Package soak runs cornelyard-gateway under random faults for a range of seeds.
package soak

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/bench/report"
	"github.com/cornelyard/cornelyard/internal/soak"
)

// Command is the soak command.
type Command struct {
	clause  *kingpin.CmdClause
	options soak.Options
	seeds   int
}

// Register adds the command to the application.
func Register(app *kingpin.Application) *Command {
	c := &Command{clause: app.Command("soak", "Random faults on hosts of cornelyard-gateway, for a range of seeds.")}
	c.clause.Flag("seed", "First seed.").Default("1").Uint64Var(&c.options.Seed)
	c.clause.Flag("seeds", "Number of seeds.").Default("1").IntVar(&c.seeds)
	c.clause.Flag("duration", "Time under faults of each seed.").Default("15s").DurationVar(&c.options.Duration)
	c.clause.Flag("hosts", "Hosts.").Default("4").IntVar(&c.options.Hosts)
	c.clause.Flag("targets", "Targets.").Default("6").IntVar(&c.options.Targets)
	c.clause.Flag("callers", "Callers, each with one call at a time.").Default("24").IntVar(&c.options.Callers)
	c.clause.Flag("faults", "Faults at once.").Default("2").IntVar(&c.options.Faults)
	c.clause.Flag("host-faults", "Faults of hosts at once, in addition.").Default("0").IntVar(&c.options.HostFaults)
	c.clause.Flag("storms", "Let targets fail most of their runs for short periods.").BoolVar(&c.options.Storms)
	c.clause.Flag("storm-callers", "Additional callers in these periods.").Default("0").IntVar(&c.options.StormCallers)
	return c
}

// Name implements command.Command.
func (c *Command) Name() string { return c.clause.FullCommand() }

// Run implements command.Command.
func (c *Command) Run(ctx context.Context) (report.Report, error) {
	results := &soak.Summary{}
	for range c.seeds {
		result, err := soak.Run(ctx, c.options)
		if err != nil {
			return nil, err
		}
		results.Add(result)
		c.options.Seed++
	}
	return results, nil
}
