package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
)

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

// forwardPlan holds the data centres that a forwarded request has yet to try, and
// the refusal to return if none of them accepts it.
type forwardPlan struct {
	remaining []ident.DataCentre
	refusal   *outcome.Refusal
	// since is when the current data centre was first tried.
	since time.Time
}
