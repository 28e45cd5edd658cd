package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
)

// ticket is one acquired request at its entry, from Acquire to the end of its
// grant. Its fields are guarded by the client's mutex.
type ticket struct {
	request admission.Request
	key     key
	// announced says that the owner was sent the request.
	announced bool
	// grant is set once the request is granted.
	grant *heldGrant
	// result delivers the grant or the refusal; it has room for one.
	result chan ticketResult
	// forward is set while the request is tried in other data centres.
	forward *forwardPlan
}

// ticketResult is what Acquire returns.
type ticketResult struct {
	grant   *heldGrant
	refusal *outcome.Refusal
}

// forwardPlan is what is left to try of a forwarded request.
type forwardPlan struct {
	remaining []ident.DataCentre
	refusal   *outcome.Refusal
	// since is when the current data centre was first tried.
	since time.Time
}
