package fairshare

import "github.com/cornelyard/cornelyard/ident"

// Key identifies an account: one team at one rank of a pool. Accounts of different ranks are
// never compared.
type Key struct {
	TeamRank  int
	RouteRank int
	Team      ident.Team
}

// sameRank reports whether two accounts compete with each other.
func (k Key) sameRank(other Key) bool {
	return k.TeamRank == other.TeamRank && k.RouteRank == other.RouteRank
}
