package claim

// Claim is the exclusive right to run one request. Exactly one of Complete, Lose
// and Release must be called, once the request has reached its outcome. They
// return at once; the platform is told in the background.
type Claim struct {
	manager *Manager
	local   *localClaim
	record  *record
	// revision is the row's, or zero if it is not known.
	revision uint64
}

// Complete records that the request ran to its end. A nil answer was too large
// to keep.
func (c *Claim) Complete(response *StoredResponse) {
	result := Result{Response: response}
	if response == nil {
		result.Refusal = refuseNotStored()
	}
	c.local.end(result, false)
	c.record.State = stateCompleted
	c.manager.finalize(&finalization{claim: c, response: response})
}

// MarkUnknown records that the request was dispatched and that its result is not known.
func (c *Claim) MarkUnknown() {
	c.local.end(Result{Refusal: refuseUnknown()}, false)
	c.record.State = stateUnknown
	c.manager.finalize(&finalization{claim: c})
}

// Release gives the key free, because the request did not run.
func (c *Claim) Release() {
	c.local.end(Result{}, true)
	c.manager.finalize(&finalization{claim: c, release: true})
}
