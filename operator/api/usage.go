package api

import "github.com/cornelyard/cornelyard/usage"

// Usage is what the teams used, summed over all hosts that are or were known.
type Usage struct {
	usage.Summary
	// Unreachable are the hosts whose part may be out of date or missing.
	Unreachable []Unreachable `json:"unreachable,omitempty"`
}
