package claim

// Claim is the exclusive right to run one request. Exactly one of Complete,
// MarkUnknown and Release must be called when the request has ended. They return at
// once; the final state is written to the platform in the background.
type Claim struct {
	manager *Manager
	local   *localClaim
	record  *record
	// revision is the revision of the claim's row, or zero if it is unknown.
	revision uint64
}

// Complete records that the request completed. The response is nil if it is too
// large to be stored.
func (c *Claim) Complete(response *StoredResponse) {
	result := Result{Response: response}
	if response == nil {
		result.Refusal = refuseNotStored()
	}
	c.local.end(result, false)
	c.record.State = stateCompleted
	c.manager.finalize(&finalization{claim: c, response: response})
}

// MarkUnknown records that the request was dispatched and that its result is unknown.
func (c *Claim) MarkUnknown() {
	c.local.end(Result{Refusal: refuseUnknown()}, false)
	c.record.State = stateUnknown
	c.manager.finalize(&finalization{claim: c})
}

// Release removes the claim because the request did not run.
func (c *Claim) Release() {
	c.local.end(Result{}, true)
	c.manager.finalize(&finalization{claim: c, release: true})
}
