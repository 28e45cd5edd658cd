package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/settings"
)

const validateExamples = `Examples:
  cornelyard validate declarations
  cornelyard validate --host /etc/cornelyard/host.json
  cornelyard validate --gateway /etc/cornelyard/settings.json
  cornelyard validate --output json declarations
`

// validateCommand validates a directory of declarations and settings files of
// hosts and gateways.
type validateCommand struct {
	directory string
	hosts     []string
	gateways  []string
}

// Register implements Command.
func (c *validateCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	command := app.Command("validate", "Check declarations, or settings files of hosts, and list every fault. Needs no host.").HelpLong(validateExamples)
	command.Flag("host", "Settings file of a host. May be repeated.").PlaceHolder("FILE").StringsVar(&c.hosts)
	command.Flag("gateway", "Settings file of a gateway. May be repeated.").PlaceHolder("FILE").StringsVar(&c.gateways)
	command.Arg("directory", "Root of the declarations.").StringVar(&c.directory)
	return command
}

// Run implements Command.
func (c *validateCommand) Run(_ context.Context, s *Session) error {
	if c.directory == "" && len(c.hosts) == 0 && len(c.gateways) == 0 {
		return &usageError{message: "give a directory or --host or --gateway"}
	}
	result := validationResult{Findings: finding.List{}}
	if err := c.validateTree(&result); err != nil {
		return err
	}
	for _, path := range c.hosts {
		_, err := config.Load(path)
		if err := result.addFile(err); err != nil {
			return err
		}
	}
	for _, path := range c.gateways {
		_, err := config.LoadGateway(path)
		if err := result.addFile(err); err != nil {
			return err
		}
	}
	return result.print(s)
}

func (c *validateCommand) validateTree(result *validationResult) error {
	if c.directory == "" {
		return nil
	}
	t, err := readTree(c.directory)
	if err != nil {
		return err
	}
	_, findings := settings.ParseTree(t.documents)
	result.Documents = len(t.documents)
	result.Findings = append(result.Findings, t.findings...)
	result.Findings = append(result.Findings, t.withFileNames(findings)...)
	return nil
}
