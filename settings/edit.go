package settings

import (
	"cmp"
	"slices"
)

// Edit is the effect of a change on one document.
type Edit struct {
	Path string `json:"path"`
	// Before is the previous body; it is empty if the document is new.
	Before string `json:"before,omitempty"`
	// After is the new body; it is empty if the document is removed.
	After string `json:"after,omitempty"`
}

// Removes reports whether the edit removes the document.
func (e Edit) Removes() bool { return e.After == "" }

func sortEdits(edits []Edit) {
	slices.SortFunc(edits, func(a, b Edit) int { return cmp.Compare(a.Path, b.Path) })
}
