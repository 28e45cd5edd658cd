package pool

import "github.com/cornelyard/cornelyard/admission"

// trackedRequest is a request at its entry, from Acquire to the end of its grant.
// Its fields are guarded by the client's mutex.
type trackedRequest struct {
	request admission.Request
	key     key
	// enqueueSent is set once the request was sent to the owner.
	enqueueSent bool
	// grant is set once the request is granted.
	grant *heldGrant
	// result delivers the grant or the refusal; it has a capacity of one, so
	// sending does not block.
	result chan acquireResult
	// forward is set once the request is forwarded to other data centres.
	forward *forwardPlan
}
