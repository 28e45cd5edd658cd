package cli

import "github.com/cornelyard/cornelyard/settings"

// diffResult is the JSON output of the diff command.
type diffResult struct {
	Version uint64          `json:"version"`
	Edits   []settings.Edit `json:"edits"`
	// Kept are the paths of documents that are missing from the directory and would
	// not be removed.
	Kept []string `json:"kept,omitempty"`
}
