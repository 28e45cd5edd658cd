package schedule

import "github.com/cornelyard/cornelyard/ident"

// Load is what one host has on one target.
type Load struct {
	Target  ident.Target
	Running int
	// PrefillTokens is what the target has yet to compute of prompts.
	PrefillTokens int
	// KVTokens is the KV cache that the running requests need.
	KVTokens int
	// Speeds is what the host observed of the target.
	Speeds Speeds
	// Resting says that the host sends nothing to the target, because it failed.
	Resting bool
	// Good and Bad are decayed counts of dispatches, by how they ended.
	Good float64
	Bad  float64
}
