package claim

import "github.com/cornelyard/cornelyard/outcome"

// Result is what is known of a request's key. At most one member is set; none
// says that the key is free.
type Result struct {
	// Claim is set if the request was claimed now.
	Claim *Claim
	// Response is the answer of an earlier run of the same request.
	Response *StoredResponse
	// Refusal is the answer if the request can't be run and has no kept answer.
	Refusal *outcome.Refusal
}

// Unclaimed reports whether the key is not in use.
func (f Result) Unclaimed() bool {
	return f.Claim == nil && f.Response == nil && f.Refusal == nil
}
