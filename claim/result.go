package claim

import "github.com/cornelyard/cornelyard/outcome"

// Result is the result of claiming or looking up a request's key. At most one field
// is set; if none is set, the key is unclaimed.
type Result struct {
	// Claim is set if this call has claimed the key.
	Claim *Claim
	// Response is the stored response of an earlier run of the same request.
	Response *StoredResponse
	// Refusal is set if the request must not run and no stored response is available.
	Refusal *outcome.Refusal
}

// Unclaimed reports whether the key is not claimed.
func (r Result) Unclaimed() bool {
	return r.Claim == nil && r.Response == nil && r.Refusal == nil
}
