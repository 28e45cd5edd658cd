package cli

import (
	"context"
	"strings"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/operator/client"
	"github.com/cornelyard/cornelyard/settings"
)

// comparison holds a directory against the declarations in force.
type comparison struct {
	tree *tree
	// version is what the directory was compared with.
	version uint64
	edits   []settings.Edit
	// kept are the documents that the directory lacks and that stay.
	kept []string
}

// scope selects what is compared.
type scope struct {
	directory string
	team      string
	prune     bool
}

// prefix begins the paths that are compared.
func (c scope) prefix() string {
	if c.team == "" {
		return ""
	}
	return settings.TeamPrefix(ident.Team(c.team))
}

// compare reads the directory and the newest declarations.
func (c scope) compare(ctx context.Context, system *client.Client) (*comparison, error) {
	local, err := readTree(c.directory)
	if err != nil {
		return nil, err
	}
	local.only(c.prefix())
	if err := local.findings.Err(); err != nil {
		return nil, err
	}
	if len(local.documents) == 0 {
		return nil, &usageError{message: "there are no documents in " + local.file(c.prefix())}
	}
	current, err := system.Documents(ctx, 0, c.prefix())
	if err != nil {
		return nil, err
	}
	return c.difference(local, current), nil
}

func (c scope) difference(local *tree, current api.Documents) *comparison {
	known, _ := settings.ParseTree(current.Documents)
	result := &comparison{tree: local, version: current.Version}
	all := known.Diff(local.documents, func(string) bool { return true })
	for _, edit := range all {
		if edit.Removes() && !c.prune {
			result.kept = append(result.kept, edit.Path)
			continue
		}
		result.edits = append(result.edits, edit)
	}
	return result
}

// change returns what has to be sent.
func (r *comparison) change() (puts []settings.Document, deletes []string) {
	for _, edit := range r.edits {
		if edit.Removes() {
			deletes = append(deletes, edit.Path)
			continue
		}
		puts = append(puts, settings.Document{Path: edit.Path, Body: edit.After})
	}
	return puts, deletes
}

// noteKept tells which documents are left alone.
func (r *comparison) noteKept(s *Session) {
	if len(r.kept) > 0 && !s.JSON() {
		s.Notef("not in %s and left alone; --prune removes them: %s\n", r.tree.root, strings.Join(r.kept, ", "))
	}
}

// rename names files in the findings of a refusal.
func (r *comparison) rename(refusal *api.Error) {
	refusal.Findings = r.tree.rename(refusal.Findings)
	if len(refusal.Findings) > 0 {
		refusal.Message = finding.List(refusal.Findings).Error()
	}
}
