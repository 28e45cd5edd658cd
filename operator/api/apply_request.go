package api

import "github.com/cornelyard/cornelyard/settings"

// ApplyRequest asks for a change of the declarations.
type ApplyRequest struct {
	// ID names the change. Sent again with the same ID, it takes effect once.
	ID     string `json:"id"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	// Base is the version that the change was made from; zero means the one in
	// force when the change arrives.
	Base    uint64              `json:"base,omitempty"`
	Puts    []settings.Document `json:"puts,omitempty"`
	Deletes []string            `json:"deletes,omitempty"`
	// DryRun checks the change and changes nothing.
	DryRun bool `json:"dryRun,omitempty"`
}
