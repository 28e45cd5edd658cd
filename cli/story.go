package cli

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/eventlog"
)

const storyExamples = `Examples:
  cornelyard story 9c41d07be2a35f68 logs/*.log
  collect-logs | cornelyard story 9c41d07be2a35f68
`

// storyTimeLayout formats the time of a log line.
const storyTimeLayout = "15:04:05.000"

// storyCommand prints the lines about one request in the logs of all hosts.
type storyCommand struct {
	request string
	files   []string
}

// Register implements Command.
func (c *storyCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	command := app.Command("story", "Print what the logs of gateways say of one request. Needs no host.").HelpLong(storyExamples)
	command.Arg("request", "The caller's id of its try.").Required().StringVar(&c.request)
	command.Arg("log", "Log files of any number of hosts; without any, the standard input is read.").StringsVar(&c.files)
	return command
}

// Run implements Command.
func (c *storyCommand) Run(_ context.Context, s *Session) error {
	reader := eventlog.NewRequestReader(c.request)
	read := func(_ string, log io.Reader) error { return reader.Read(log) }
	if err := readLogs(s, c.files, read); err != nil {
		return err
	}
	story := reader.Lines()
	if len(story) == 0 {
		return Error.New("no line is about the request %q; lines of requests that were served are a sample", c.request)
	}
	for _, line := range story {
		s.Printf("%s %s %s %s\n", line.At.UTC().Format(storyTimeLayout), line.Host, line.Message, line.Text())
	}
	if reader.Skipped > 0 {
		s.PrintErrf("%d lines were no log lines\n", reader.Skipped)
	}
	return nil
}
