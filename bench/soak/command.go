// Package soak runs cornelyard-gateway under random faults for a range of seeds.
package soak

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/bench/report"
	"github.com/cornelyard/cornelyard/internal/former"
	"github.com/cornelyard/cornelyard/internal/soak"
)

// Command is the soak command.
type Command struct {
	clause  *kingpin.CmdClause
	options soak.Options
	seeds   int
	upgrade bool
	record  string
}

// Register adds the command to the application.
func Register(app *kingpin.Application) *Command {
	c := &Command{clause: app.Command("soak", "Random faults on hosts of cornelyard-gateway, for a range of seeds.")}
	c.clause.Flag("seed", "First seed.").Default("1").Uint64Var(&c.options.Seed)
	c.clause.Flag("seeds", "Number of seeds.").Default("1").IntVar(&c.seeds)
	c.clause.Flag("duration", "Time under faults of each seed (15s). In an upgrade, its longest time (2m).").DurationVar(&c.options.Duration)
	c.clause.Flag("hosts", "Hosts (4; in an upgrade 6 or 20).").IntVar(&c.options.Hosts)
	c.clause.Flag("targets", "Targets (6; in an upgrade 12).").IntVar(&c.options.Targets)
	c.clause.Flag("callers", "Callers, each with one call at a time.").Default("24").IntVar(&c.options.Callers)
	c.clause.Flag("faults", "Faults at once (2; in an upgrade 0).").IntVar(&c.options.Faults)
	c.clause.Flag("host-faults", "Faults of hosts at once, in addition.").Default("0").IntVar(&c.options.HostFaults)
	c.clause.Flag("storms", "Let targets fail most of their runs for short periods.").BoolVar(&c.options.Storms)
	c.clause.Flag("storm-callers", "Additional callers in these periods.").Default("0").IntVar(&c.options.StormCallers)
	c.clause.Flag("upgrade", "Upgrade hosts from the build of a former commit to this one under load.").BoolVar(&c.upgrade)
	c.clause.Flag("former", "The former commit, for an upgrade (the one in production by deploy/system.toml).").StringVar(&c.options.Former)
	c.clause.Flag("record", "Only record datagrams and rows of the former build in this directory.").StringVar(&c.record)
	return c
}

// Name implements command.Command.
func (c *Command) Name() string { return c.clause.FullCommand() }

// Run implements command.Command.
func (c *Command) Run(ctx context.Context) (report.Report, error) {
	if (c.upgrade || c.record != "") && c.options.Former == "" {
		commit, err := former.Production()
		if err != nil {
			return nil, err
		}
		c.options.Former = commit
	}
	if c.record != "" {
		return &soak.Summary{}, soak.Record(ctx, c.options.Former, c.record)
	}
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
