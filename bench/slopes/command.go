package slopes

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/bench/command"
	"github.com/cornelyard/cornelyard/bench/report"
)

type slopesCommand struct {
	name    string
	options options
}

// Register adds the command to the application.
func Register(app *kingpin.Application) command.Command {
	clause := app.Command("slopes", "Growth of a host's cost with the size of the system.")
	c := &slopesCommand{name: clause.FullCommand()}
	clause.Flag("series", "A series to measure; all if none is given.").EnumsVar(&c.options.series, seriesNames()...)
	clause.Flag("settle", "Time before each measured window.").Default("6s").DurationVar(&c.options.settle)
	clause.Flag("window", "Length of each measured window.").Default("10s").DurationVar(&c.options.window)
	clause.Flag("max-hosts", "Most daemons that run at once.").Default("40").IntVar(&c.options.maxHosts)
	clause.Flag("heartbeat", "Interval of the daemons' heartbeats; their default if zero.").DurationVar(&c.options.heartbeat)
	return c
}

// Name implements command.Command.
func (c *slopesCommand) Name() string { return c.name }

// Run implements command.Command.
func (c *slopesCommand) Run(ctx context.Context) (report.Report, error) {
	result := &Report{
		WindowSeconds:    c.options.window.Seconds(),
		HeartbeatSeconds: c.options.heartbeat.Seconds(),
		Processors:       runtime.NumCPU(),
	}
	for _, s := range selectSeries(c.options.series) {
		fmt.Fprintf(os.Stderr, "slopes: %s\n", s.name)
		measured, err := s.measure(ctx, c.options)
		if err != nil {
			return nil, err
		}
		result.Series = append(result.Series, measured)
	}
	return result, nil
}
