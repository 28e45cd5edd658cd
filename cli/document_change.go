package cli

import (
	"github.com/rogpeppe/go-internal/diff"

	"github.com/cornelyard/cornelyard/settings"
)

// documentChange is what happens to one document, in JSON output.
type documentChange struct {
	Path   string         `json:"path"`
	Action documentAction `json:"action"`
}

// documentAction names what happens to a document.
type documentAction string

const (
	actionAdd    documentAction = "add"
	actionChange documentAction = "change"
	actionRemove documentAction = "remove"
)

// sign is the mark of the action in text output.
func (a documentAction) sign() string {
	switch a {
	case actionAdd:
		return "+"
	case actionRemove:
		return "-"
	default:
		return "~"
	}
}

func actionOf(edit settings.Edit) documentAction {
	switch {
	case edit.Removes():
		return actionRemove
	case edit.Before == "":
		return actionAdd
	default:
		return actionChange
	}
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

// printDiff writes the edit as a unified diff.
func (s *Session) printDiff(edit settings.Edit) {
	before, after := "a/"+edit.Path, "b/"+edit.Path
	s.Printf("%s", diff.Diff(before, []byte(edit.Before), after, []byte(edit.After)))
}
