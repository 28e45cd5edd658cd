package schedule

import "github.com/cornelyard/cornelyard/ident"

// TargetLoad is what one host, or the hosts of a data centre, have on one target.
type TargetLoad struct {
	Target  ident.Target
	Running int
	// PrefillTokens is what the target has yet to compute of prompts.
	PrefillTokens int
	// KVTokens is the KV cache that the running requests need.
	KVTokens int
}
