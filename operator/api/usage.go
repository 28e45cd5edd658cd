package api

import "github.com/cornelyard/cornelyard/usage"

// Usage is the resource usage by team, summed over all hosts that are or were
// known.
type Usage struct {
	usage.Summary
	// Unreachable are the hosts whose usage may be out of date or missing.
	Unreachable []Unreachable `json:"unreachable,omitempty"`
}
