package rollout

// RouteID is the hash of a route's name by which hosts identify it in messages.
type RouteID uint32

// CountKey identifies counts: those of a route on the candidates or on the old targets.
type CountKey struct {
	Route RouteID
	Side  Side
}

// Report holds the evidence of one host, or of all hosts of a data centre, since it learned
// of the order. Its counts only grow while the process of the host runs.
type Report map[CountKey]Counts
