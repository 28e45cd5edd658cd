package settings

// Result is the outcome of an accepted change.
type Result struct {
	// Version is the settings version that contains the change.
	Version uint64 `json:"version"`
	// Changed is false if the documents already had the requested content, so that no
	// new version was created.
	Changed bool `json:"changed"`
	// Edits are the edits that the change made.
	Edits []Edit `json:"edits,omitempty"`
}
