package api

import "github.com/cornelyard/cornelyard/settings"

// Documents is one version of the declarations, limited to the documents that the
// token may read.
type Documents struct {
	Version uint64 `json:"version"`
	// Stale reports that the platform could not be read, so there may be a newer
	// version.
	Stale     bool                `json:"stale,omitempty"`
	Documents []settings.Document `json:"documents"`
}
