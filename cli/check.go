package cli

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/configcheck"
	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/platform"
	"github.com/cornelyard/cornelyard/route"
)

const checkExamples = `Examples:
  cornelyard check config.json
  cornelyard check --against in-force.json config.json
  cornelyard check --output json config.json
`

// defaultQuotaWindow is the usual window of a quota.
const defaultQuotaWindow = "8s"

// checkCommand checks a configuration for gateways before it is sent.
type checkCommand struct {
	file        string
	against     string
	quotaWindow time.Duration
}

// Register implements Command.
func (c *checkCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	command := app.Command("check", "Check a configuration for gateways before it is sent. Sends nothing and needs no host.").HelpLong(checkExamples)
	command.Flag("against", "Configuration in force; what differs from it is listed.").PlaceHolder("FILE").StringVar(&c.against)
	command.Flag("quota-window", "Window of the quotas.").Default(defaultQuotaWindow).DurationVar(&c.quotaWindow)
	command.Arg("file", "The configuration.").Required().StringVar(&c.file)
	return command
}

// Run implements Command.
func (c *checkCommand) Run(_ context.Context, s *Session) error {
	checked, err := c.check(c.file)
	if err != nil {
		return err
	}
	result := checkResult{Errors: append(finding.List{}, checked.Errors...), Warnings: append(finding.List{}, checked.Warnings...)}
	if c.against != "" && checked.Configuration != nil {
		if err := c.compare(checked.Configuration, &result); err != nil {
			return err
		}
	}
	return result.print(s)
}

func (c *checkCommand) check(path string) (platform.CheckedConfig, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return platform.CheckedConfig{}, Error.Wrap(err)
	}
	return platform.CheckConfig(path, data, c.quotaWindow), nil
}

// compare adds what differs from the configuration in force.
func (c *checkCommand) compare(to *route.Configuration, result *checkResult) error {
	inForce, err := c.check(c.against)
	if err != nil {
		return err
	}
	if err := inForce.Errors.Err(); err != nil {
		return err
	}
	if to.Version <= inForce.Configuration.Version {
		result.Outdated = true
	}
	result.Changes = configcheck.Changes(inForce.Configuration, to)
	return nil
}
