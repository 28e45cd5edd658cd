package schedule

import "cmp"

// Rank orders the requests of one pool: by the priority of the team, then by that of
// the route. Smaller values are served first.
type Rank struct {
	Team  int
	Route int
}

// Compare returns a negative number if r is served before other.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Team, other.Team), cmp.Compare(r.Route, other.Route))
}
