package claim

import "github.com/cornelyard/cornelyard/outcome"

// Finding is what is known of a request's key. At most one member is set; none
// says that the key is free.
type Finding struct {
	// Claim is set if the request was claimed now.
	Claim *Claim
	// Kept is the answer of an earlier run of the same request.
	Kept *Answer
	// Refusal is the answer if the request can't be run and has no kept answer.
	Refusal *outcome.Refusal
}

// Free reports whether the key is not in use.
func (f Finding) Free() bool {
	return f.Claim == nil && f.Kept == nil && f.Refusal == nil
}
