package cli

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/loadtable"
)

const loadExamples = `Counts are estimated: gateways log one in 32 of the requests that are served at the first
attempt, and each such line counts for the requests that it represents. LINES is the number of
lines behind a row. SERVED includes LATE (after the objective of the route). REFUSED requests ran
on no target; FAILED are all others, including those whose callers left. Times are in ms: in the
queue, and from the arrival to the first event of a stream. A missing value is shown as "-".

Examples:
  cornelyard load logs/*.log
  cornelyard load --by team --by outcome logs/*.log
  cornelyard load --by second,data-centre --from 2026-01-31T08:00:00Z --to 2026-01-31T08:01:00Z logs/*.log
  collect-logs | cornelyard load --by prompt --json
`

// loadCommand prints how the requests in the logs of gateways were served.
type loadCommand struct {
	files []string
	by    []string
	from  string
	to    string
	json  bool
}

// Register implements Command.
func (c *loadCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	command := app.Command("load", "Print who waited and who was refused, from the logs of gateways. Needs no host.").HelpLong(loadExamples)
	command.Flag("by", "One row for each "+strings.Join(dimensionNames(), ", ")+". May be repeated, or list several separated by commas.").
		PlaceHolder("PROPERTY").StringsVar(&c.by)
	command.Flag("from", "Only requests that ended at this time (RFC 3339) or later; or so long ago (such as 5m).").PlaceHolder("TIME").StringVar(&c.from)
	command.Flag("to", "Only requests that ended before this time.").PlaceHolder("TIME").StringVar(&c.to)
	command.Flag("json", "Print one JSON object per row, as --output json does.").BoolVar(&c.json)
	command.Arg("file", "Log files of any number of hosts; without any, the standard input is read.").StringsVar(&c.files)
	return command
}

func dimensionNames() []string {
	var names []string
	for _, dimension := range loadtable.Dimensions() {
		names = append(names, string(dimension))
	}
	return names
}

// Run implements Command.
func (c *loadCommand) Run(_ context.Context, s *Session) error {
	by, err := c.dimensions()
	if err != nil {
		return err
	}
	period, err := c.period(time.Now())
	if err != nil {
		return err
	}
	reader := &loadReader{table: loadtable.New(by...), period: period}
	if err := readLogs(s, c.files, reader.read); err != nil {
		return err
	}
	if reader.lines == 0 {
		return &usageError{message: "there is no input: name log files that are not empty, or pipe them to the standard input"}
	}
	output := loadOutput{session: s, by: by, rows: reader.table.Rows()}
	if c.json || s.JSON() {
		err = output.writeJSON()
	} else {
		output.writeText()
	}
	reader.reportGaps(s)
	return err
}

func (c *loadCommand) dimensions() ([]loadtable.Dimension, error) {
	var by []loadtable.Dimension
	for _, name := range splitList(strings.Join(c.by, ",")) {
		dimension := loadtable.Dimension(name)
		if !slices.Contains(loadtable.Dimensions(), dimension) {
			return nil, &usageError{message: "--by " + name + " is none of " + strings.Join(dimensionNames(), ", ")}
		}
		if slices.Contains(by, dimension) {
			return nil, &usageError{message: "--by " + name + " is given twice"}
		}
		by = append(by, dimension)
	}
	return by, nil
}

func (c *loadCommand) period(now time.Time) (loadtable.Period, error) {
	from, err := parseTime("--from", c.from, now)
	if err != nil {
		return loadtable.Period{}, err
	}
	to, err := parseTime("--to", c.to, now)
	if err != nil {
		return loadtable.Period{}, err
	}
	if !from.IsZero() && !to.IsZero() && !from.Before(to) {
		return loadtable.Period{}, &usageError{message: "--from is not before --to"}
	}
	return loadtable.Period{From: from, To: to}, nil
}
