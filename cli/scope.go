package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/operator/client"
	"github.com/cornelyard/cornelyard/settings"
)

// scope selects the documents to compare.
type scope struct {
	directory string
	team      string
	prune     bool
}

// prefix returns the prefix of the paths to compare.
func (c scope) prefix() string {
	if c.team == "" {
		return ""
	}
	return settings.TeamPrefix(ident.Team(c.team))
}

// compare compares the directory with the newest declarations.
func (c scope) compare(ctx context.Context, hostClient *client.Client) (*comparison, error) {
	local, err := readTree(c.directory)
	if err != nil {
		return nil, err
	}
	local.keepPrefix(c.prefix())
	if err := local.findings.Err(); err != nil {
		return nil, err
	}
	if len(local.documents) == 0 {
		return nil, &usageError{message: "there are no documents in " + local.fileName(c.prefix())}
	}
	current, err := hostClient.Documents(ctx, 0, c.prefix())
	if err != nil {
		return nil, err
	}
	return c.diff(local, current), nil
}

func (c *scope) register(command *kingpin.CmdClause) {
	command.Arg("directory", "Root of the declarations.").Required().StringVar(&c.directory)
	command.Flag("team", "Only the subtree of this team.").PlaceHolder("TEAM").StringVar(&c.team)
	command.Flag("prune", "Remove documents that are in force and not in the directory.").BoolVar(&c.prune)
}

func (c scope) diff(local *tree, current api.Documents) *comparison {
	known, _ := settings.ParseTree(current.Documents)
	result := &comparison{tree: local, version: current.Version}
	for _, edit := range known.Diff(local.documents) {
		if edit.Removes() && !c.prune {
			result.kept = append(result.kept, edit.Path)
			continue
		}
		result.edits = append(result.edits, edit)
	}
	return result
}
