package policy

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/bench/command"
	"github.com/cornelyard/cornelyard/bench/report"
	"github.com/cornelyard/cornelyard/settings"
)

type policyCommand struct {
	name    string
	options options
}

// Register adds the command to the application.
func Register(app *kingpin.Application) command.Command {
	clause := app.Command("policy", "The scheduling policies on the same arrivals.")
	c := &policyCommand{name: clause.FullCommand()}
	clause.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&c.options.seed)
	clause.Flag("shape", "Deployment.").Default("lankadhara").EnumVar(&c.options.shape, "lankadhara", "dakar")
	clause.Flag("deadlines", "Deadlines that grow with the call's length, or the tiers' own.").Default(scaledDeadlines).
		EnumVar(&c.options.deadlines, scaledDeadlines, fixedDeadlines)
	clause.Flag("duration", "Length of one phase.").Default("20s").DurationVar(&c.options.duration)
	clause.Flag("warm-up", "Length of the phase before the measured ones.").Default("5s").DurationVar(&c.options.warmUp)
	clause.Flag("load", "Offered load in parts of the capacity.").Default("0.7", "1.0", "2.0").Float64ListVar(&c.options.loads)
	clause.Flag("policy", "Policy to measure.").Default(
		string(settings.PolicyRoundRobin), string(settings.PolicyLeastReportedLoad),
		string(settings.PolicyLateBinding), string(settings.PolicyPredictive),
	).EnumsVar(&c.options.policies,
		string(settings.PolicyRoundRobin), string(settings.PolicyLeastReportedLoad),
		string(settings.PolicyLateBinding), string(settings.PolicyPredictive))
	clause.Flag("slow-load", "Load of the runs with a slowed and with an absent engine; 0 leaves them out.").
		Default("0.7").Float64Var(&c.options.slowLoad)
	return c
}

// Name implements command.Command.
func (c *policyCommand) Name() string { return c.name }

// Run implements command.Command.
func (c *policyCommand) Run(ctx context.Context) (report.Report, error) {
	m := &measurement{
		options: c.options,
		shape:   shapes[c.options.shape],
		report: &Report{
			Shape:           c.options.shape,
			Seed:            c.options.seed,
			Deadlines:       c.options.deadlines,
			DurationSeconds: c.options.duration.Seconds(),
		},
	}
	return m.report, m.run(ctx)
}
