package settings

import (
	"cmp"
	"slices"
)

// Edit is what a change does to one document.
type Edit struct {
	Path string `json:"path"`
	// Before is the body that was in force; it is empty if there was none.
	Before string `json:"before,omitempty"`
	// After is the new body; it is empty if the document is removed.
	After string `json:"after,omitempty"`
}

// Removes reports whether the edit removes the document.
func (e Edit) Removes() bool { return e.After == "" }

func sortEdits(edits []Edit) {
	slices.SortFunc(edits, func(a, b Edit) int { return cmp.Compare(a.Path, b.Path) })
}
