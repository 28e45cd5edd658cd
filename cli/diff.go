package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/settings"
)

const diffExamples = `Examples:
  cornelyard diff declarations
  cornelyard diff declarations --team press --exit-code
`

// diffCommand shows the changes that apply would make.
type diffCommand struct {
	scope    scope
	exitCode bool
}

// Register implements Command.
func (c *diffCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	command := app.Command("diff", "Show how a directory differs from the newest declarations.").HelpLong(diffExamples)
	c.scope.register(command)
	command.Flag("exit-code", "Exit with status 9 if there are differences.").BoolVar(&c.exitCode)
	return command
}

// Run implements Command.
func (c *diffCommand) Run(ctx context.Context, s *Session) error {
	hostClient, err := s.newClient()
	if err != nil {
		return err
	}
	defer hostClient.Close()
	found, err := c.scope.compare(ctx, hostClient)
	if err != nil {
		return err
	}
	if err := found.print(s); err != nil {
		return err
	}
	if c.exitCode && len(found.edits) > 0 {
		return &exitError{status: ExitDifferent}
	}
	return nil
}

func (c *comparison) print(s *Session) error {
	if s.JSON() {
		edits := append([]settings.Edit{}, c.edits...)
		return s.WriteJSON(diffResult{Version: c.version, Edits: edits, Kept: c.kept})
	}
	for _, edit := range c.edits {
		s.printDiff(edit)
	}
	if len(c.edits) == 0 {
		s.Printf("no difference from version %d\n", c.version)
	}
	c.reportKept(s)
	return nil
}
