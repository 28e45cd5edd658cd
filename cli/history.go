package cli

import (
	"context"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/operator/client"
	"github.com/cornelyard/cornelyard/settings"
)

const historyExamples = `Examples:
  cornelyard history
  cornelyard history --after 40 --limit 5 --diff
  cornelyard history --document teams/press/team.json
`

// historyCommand lists the accepted changes.
type historyCommand struct {
	after    uint64
	limit    int
	document string
	diff     bool
}

// Register implements Command.
func (c *historyCommand) Register(app *kingpin.Application) *kingpin.CmdClause {
	command := app.Command("history", "List the newest accepted changes with author, time and reason, oldest first.").HelpLong(historyExamples)
	command.Flag("after", "List the changes after this version instead.").Uint64Var(&c.after)
	command.Flag("limit", "How many changes are read.").Default("20").IntVar(&c.limit)
	command.Flag("document", "Only changes of this document.").PlaceHolder("PATH").StringVar(&c.document)
	command.Flag("diff", "Show what was changed in the documents.").BoolVar(&c.diff)
	return command
}

// Run implements Command.
func (c *historyCommand) Run(ctx context.Context, s *Session) error {
	hostClient, err := s.newClient()
	if err != nil {
		return err
	}
	defer hostClient.Close()
	found, err := c.read(ctx, hostClient)
	if err != nil {
		return err
	}
	if c.document != "" {
		found.Records = slices.DeleteFunc(found.Records, func(r settings.Record) bool { return !c.changesDocument(r) })
	}
	if s.JSON() {
		return s.WriteJSON(found)
	}
	for _, record := range found.Records {
		c.print(s, record)
	}
	return nil
}

func (c *historyCommand) read(ctx context.Context, hostClient *client.Client) (api.History, error) {
	if c.after > 0 {
		return hostClient.History(ctx, c.after, c.limit)
	}
	return hostClient.RecentHistory(ctx, c.limit)
}

func (c *historyCommand) changesDocument(r settings.Record) bool {
	return slices.ContainsFunc(r.Edits, func(edit settings.Edit) bool { return edit.Path == c.document })
}

func (c *historyCommand) print(s *Session, r settings.Record) {
	s.Printf("version %d, %s, %s (%s): %s\n", r.Version, r.Time.UTC().Format(time.RFC3339), r.Author, r.Principal, r.Reason)
	s.printChanges(r.Edits)
	if !c.diff {
		return
	}
	for _, edit := range r.Edits {
		s.printDiff(edit)
	}
}
