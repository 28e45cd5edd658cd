package cli

import "github.com/cornelyard/cornelyard/settings"

// documentAction is the kind of change of a document.
type documentAction string

const (
	actionAdd    documentAction = "add"
	actionChange documentAction = "change"
	actionRemove documentAction = "remove"
)

// sign returns the character that marks the action in text output.
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
