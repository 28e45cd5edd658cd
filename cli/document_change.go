package cli

import (
	"github.com/rogpeppe/go-internal/diff"

	"github.com/cornelyard/cornelyard/settings"
)

// documentChange is the change of one document in JSON output.
type documentChange struct {
	Path   string         `json:"path"`
	Action documentAction `json:"action"`
}

func documentChanges(edits []settings.Edit) []documentChange {
	changes := make([]documentChange, 0, len(edits))
	for _, edit := range edits {
		changes = append(changes, documentChange{Path: edit.Path, Action: actionOf(edit)})
	}
	return changes
}

func (s *Session) printChanges(edits []settings.Edit) {
	for _, change := range documentChanges(edits) {
		s.Printf("  %s %s\n", change.Action.sign(), change.Path)
	}
}

// printDiff prints the edit as a unified diff.
func (s *Session) printDiff(edit settings.Edit) {
	before, after := "a/"+edit.Path, "b/"+edit.Path
	s.Printf("%s", diff.Diff(before, []byte(edit.Before), after, []byte(edit.After)))
}
