package settings

import "time"

// Record is one accepted change, as the history keeps it.
type Record struct {
	// Version is the settings version that the change made.
	Version uint64 `json:"version"`
	// ID names the change; it was chosen before the change was sent.
	ID string `json:"id"`
	// Author is who the sender said it was.
	Author string `json:"author"`
	// Principal is whose token the change came with: "operator" or "team/NAME".
	Principal string    `json:"principal"`
	Reason    string    `json:"reason"`
	Time      time.Time `json:"time"`
	Edits     []Edit    `json:"edits"`
}

// touches reports whether the change edited the document at path.
func (r Record) touches(path string) bool {
	for _, edit := range r.Edits {
		if edit.Path == path {
			return true
		}
	}
	return false
}

// undo returns the edits that take the change back.
func (r Record) inverseEdits() []Edit {
	edits := make([]Edit, 0, len(r.Edits))
	for _, edit := range r.Edits {
		edits = append(edits, Edit{Path: edit.Path, Before: edit.After, After: edit.Before})
	}
	return edits
}
