package fairshare

import (
	"cmp"

	"github.com/cornelyard/cornelyard/ident"
)

// Key identifies an account: one team at one rank of a pool. Accounts of different ranks are
// never compared.
type Key struct {
	TeamRank  int
	RouteRank int
	Team      ident.Team
}

func (k Key) compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.TeamRank, other.TeamRank), cmp.Compare(k.RouteRank, other.RouteRank), cmp.Compare(k.Team, other.Team),
	)
}

// sameRank reports whether two accounts compete with each other.
func (k Key) sameRank(other Key) bool {
	return k.TeamRank == other.TeamRank && k.RouteRank == other.RouteRank
}
