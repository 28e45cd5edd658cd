package pool

import "github.com/cornelyard/cornelyard/outcome"

// acquireResult is the result of Acquire.
type acquireResult struct {
	grant   *heldGrant
	refusal *outcome.Refusal
}

func (r acquireResult) unwrap() (Grant, error) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	return r.grant, nil
}
