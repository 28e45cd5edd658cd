package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

// Command is a subcommand of the tool.
type Command interface {
	// Register adds the command with its flags and arguments.
	Register(app *kingpin.Application) *kingpin.CmdClause
	// Run executes the command.
	Run(ctx context.Context, s *Session) error
}

// Commands returns the commands of this package.
func Commands() []Command {
	return []Command{
		&validateCommand{},
		&checkCommand{},
		&diffCommand{},
		&applyCommand{},
		&getCommand{},
		&historyCommand{},
		&statusCommand{},
		&timelineCommand{},
		&storyCommand{},
		&loadCommand{},
		&usageCommand{},
		&schemaCommand{},
		&versionCommand{},
	}
}
