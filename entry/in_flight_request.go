package entry

// inFlightRequest is a request that this host has accepted and not finished.
type inFlightRequest struct {
	rank int
	// state returns how costly it is to evict the request.
	state func() requestState
	evict func()
}

// requestState orders the requests of one tier, cheapest to evict first.
type requestState int

const (
	// queued: no byte has been sent to a target yet.
	queued requestState = iota
	// dispatched: bytes may have been sent to a target.
	dispatched
	// unevictable: a non-idempotent request was dispatched; its response must be stored.
	unevictable
)
