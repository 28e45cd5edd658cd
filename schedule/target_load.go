package schedule

import "github.com/cornelyard/cornelyard/ident"

// TargetLoad is the load that one host, or all hosts of a data centre, put on one target.
type TargetLoad struct {
	Target  ident.Target
	Running int
	// PrefillTokens is the number of prompt tokens that the target has yet to process.
	PrefillTokens int
	// KVTokens is the KV cache space that the running requests need.
	KVTokens int
}
