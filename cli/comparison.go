package cli

import (
	"strings"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/settings"
)

// comparison is the difference between a directory and the newest declarations.
type comparison struct {
	tree *tree
	// version is the version that the directory was compared with.
	version uint64
	edits   []settings.Edit
	// kept are the paths of documents that are missing from the directory and not
	// removed.
	kept []string
}

// putsAndDeletes returns the content of the change to send.
func (c *comparison) putsAndDeletes() (puts []settings.Document, deletes []string) {
	for _, edit := range c.edits {
		if edit.Removes() {
			deletes = append(deletes, edit.Path)
			continue
		}
		puts = append(puts, settings.Document{Path: edit.Path, Body: edit.After})
	}
	return puts, deletes
}

// reportKept prints which documents are not removed although the directory lacks
// them.
func (c *comparison) reportKept(s *Session) {
	if len(c.kept) > 0 && !s.JSON() {
		s.PrintErrf("not in %s and left alone; --prune removes them: %s\n", c.tree.root, strings.Join(c.kept, ", "))
	}
}

// useFileNames replaces document paths by file names in the findings of a
// refusal.
func (c *comparison) useFileNames(refusal *api.Error) {
	refusal.Findings = c.tree.withFileNames(refusal.Findings)
	if len(refusal.Findings) > 0 {
		refusal.Message = finding.List(refusal.Findings).Error()
	}
}
