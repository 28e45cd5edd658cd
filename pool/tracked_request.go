package pool

import (
	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/quarantine"
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

// suspects returns the suspects of a grant of the request. A host that knows of no parts of
// prompts says only whether there are any.
func (t *trackedRequest) suspects(g *peerpb.Grant) []quarantine.Digest {
	if g.GetTrial() && len(g.GetSuspects()) == 0 {
		return []quarantine.Digest{t.request.Content.Whole}
	}
	return decodeDigests(g.GetSuspects())
}
