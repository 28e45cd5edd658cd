package entry

// inFlightRequest is a request held by this host.
type inFlightRequest struct {
	rank int
	// state tells how costly it is to give the request up.
	state func() requestState
	evict func()
}

// requestState orders the requests of one tier, cheapest to give up first.
type requestState int

const (
	// queued: no byte has been sent to a target.
	queued requestState = iota
	// dispatched: the request was dispatched.
	dispatched
	// unevictable: a non-idempotent request was dispatched.
	unevictable
)
