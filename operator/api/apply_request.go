package api

import "github.com/cornelyard/cornelyard/settings"

// ApplyRequest requests a change of the declarations.
type ApplyRequest struct {
	// ID is the idempotency key of the change: a retry with the same ID has no
	// further effect.
	ID     string `json:"id"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	// Base is the version that the change is based on; zero means the version in
	// force when the request arrives.
	Base    uint64              `json:"base,omitempty"`
	Puts    []settings.Document `json:"puts,omitempty"`
	Deletes []string            `json:"deletes,omitempty"`
	// DryRun validates the change without applying it.
	DryRun bool `json:"dryRun,omitempty"`
}
