package settings

// Result tells what became of an accepted change.
type Result struct {
	// Version is the settings version that holds the change.
	Version uint64 `json:"version"`
	// Changed is false if the documents were in force already; no version was
	// made then.
	Changed bool `json:"changed"`
	// Edits are what the change did.
	Edits []Edit `json:"edits,omitempty"`
}
