package settings

import "time"

// Record is an accepted change as stored in the history.
type Record struct {
	// Version is the settings version that the change created.
	Version uint64 `json:"version"`
	// ID is the ID of the change, fixed before the first attempt to commit it.
	ID string `json:"id"`
	// Author is the author that the sender named; it is not authenticated.
	Author string `json:"author"`
	// Principal is the owner of the token that authenticated the change: "operator" or
	// "team/NAME".
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

// inverseEdits returns the edits that revert the change.
func (r Record) inverseEdits() []Edit {
	edits := make([]Edit, 0, len(r.Edits))
	for _, edit := range r.Edits {
		edits = append(edits, Edit{Path: edit.Path, Before: edit.After, After: edit.Before})
	}
	return edits
}
