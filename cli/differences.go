package cli

import "github.com/cornelyard/cornelyard/settings"

// differences is the JSON output.
type differences struct {
	Version uint64          `json:"version"`
	Edits   []settings.Edit `json:"edits"`
	// Kept are the documents that are in force and not in the directory.
	Kept []string `json:"kept,omitempty"`
}
