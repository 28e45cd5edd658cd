package cli

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/operator/client"
	"github.com/cornelyard/cornelyard/settings"
)

const applyExamples = `Documents that are in force and not in the directory are left alone, unless
--prune is given. With --base, documents that others have changed since that
version are a conflict; without, those changed since the command began.

Examples:
  cornelyard apply declarations --reason "two more engines in col-2" --wait
  cornelyard apply declarations --team press --reason "new callers' token"
  cornelyard apply declarations --dry-run --reason "what if"
`

// applyCommand applies a directory of declarations.
type applyCommand struct {
	scope       scope
	id          string
	author      string
	reason      string
	base        uint64
	dryRun      bool
	wait        bool
	waitTimeout time.Duration
}

// Register implements Command.
func (c *applyCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	command := app.Command("apply", "Make a directory of declarations the newest version.").HelpLong(applyExamples)
	c.scope.register(command)
	command.Flag("reason", "Why, for the history.").Short('r').Required().StringVar(&c.reason)
	command.Flag("author", "Who, for the history. Default: $USER.").StringVar(&c.author)
	command.Flag("id", "Name of the change. A change sent again with the same name takes effect once.").StringVar(&c.id)
	command.Flag("base", "Version that the directory was made from.").Uint64Var(&c.base)
	command.Flag("dry-run", "Have the change checked, and change nothing.").BoolVar(&c.dryRun)
	command.Flag("wait", "Wait until the change is in force on every reachable host.").BoolVar(&c.wait)
	command.Flag("wait-timeout", "Bound of --wait.").Default("30s").DurationVar(&c.waitTimeout)
	return command
}

// Run implements Command.
func (c *applyCommand) Run(ctx context.Context, s *Session) error {
	hostClient, err := s.newClient()
	if err != nil {
		return err
	}
	defer hostClient.Close()
	found, err := c.scope.compare(ctx, hostClient)
	if err != nil {
		return err
	}
	result, err := c.send(ctx, s, hostClient, found)
	if err != nil {
		return err
	}
	output := applyResult{
		Version: result.Version,
		Changed: result.Changed,
		DryRun:  c.dryRun,
		Changes: documentChanges(found.edits),
		Kept:    found.kept,
	}
	if c.wait && !c.dryRun {
		output.Rollout = waitForRollout(ctx, hostClient, result.Version, c.waitTimeout)
	}
	return c.print(s, found, output)
}

// send sends the change to be applied or, for a dry run, validated.
func (c *applyCommand) send(ctx context.Context, s *Session, hostClient *client.Client, found *comparison) (settings.Result, error) {
	if len(found.edits) == 0 {
		return settings.Result{Version: found.version}, nil
	}
	request := api.ApplyRequest{
		ID:     cmp.Or(c.id, uuid.NewString()),
		Author: cmp.Or(c.author, s.Getenv("USER"), "unknown"),
		Reason: c.reason,
		Base:   cmp.Or(c.base, found.version),
		DryRun: c.dryRun,
	}
	request.Puts, request.Deletes = found.putsAndDeletes()
	result, err := hostClient.Apply(ctx, request)
	var refusal *api.Error
	if errors.As(err, &refusal) {
		found.useFileNames(refusal)
		if refusal.Code == api.OutcomeUnknown {
			refusal.Message += "; send it again with --id " + request.ID
		}
	}
	return result, err
}

func (c *applyCommand) print(s *Session, found *comparison, output applyResult) error {
	if s.JSON() {
		if err := s.WriteJSON(output); err != nil {
			return err
		}
	} else {
		c.printText(s, found, output)
	}
	if output.Rollout != nil && len(output.Rollout.Behind) > 0 {
		return &exitError{status: ExitRolloutIncomplete}
	}
	return nil
}

func (c *applyCommand) printText(s *Session, found *comparison, output applyResult) {
	switch {
	case !output.Changed:
		s.Printf("nothing to change in version %d\n", output.Version)
	case c.dryRun:
		s.Printf("version %d would be changed:\n", output.Version)
	default:
		s.Printf("version %d is accepted:\n", output.Version)
	}
	s.printChanges(found.edits)
	found.reportKept(s)
	if output.Rollout != nil {
		output.Rollout.print(s, output.Version)
	}
}
