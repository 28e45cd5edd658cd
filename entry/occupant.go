package entry

// occupant is a request held by this host.
type occupant struct {
	rank int
	// state tells how costly it is to give the request up.
	state func() occupantState
	evict func()
}

// occupantState orders the requests of one tier, cheapest to give up first.
type occupantState int

const (
	// waiting: no byte has been sent to a target.
	waiting occupantState = iota
	// running: the request was dispatched.
	running
	// unstoppable: a non-idempotent request was dispatched.
	unstoppable
)
