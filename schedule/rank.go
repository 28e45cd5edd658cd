package schedule

import "cmp"

// Rank orders requests of one pool: by the team's priority, then by the route's.
// Smaller values are served first.
type Rank struct {
	Team  int
	Route int
}

// Compare is negative if r is served before other.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Team, other.Team), cmp.Compare(r.Route, other.Route))
}
