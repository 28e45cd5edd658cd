package api

import "github.com/cornelyard/cornelyard/settings"

// Documents is one version of the declarations, as far as the token may read
// them.
type Documents struct {
	Version uint64 `json:"version"`
	// Stale says that the platform could not be read, so that there may be a
	// newer version.
	Stale     bool                `json:"stale,omitempty"`
	Documents []settings.Document `json:"documents"`
}
