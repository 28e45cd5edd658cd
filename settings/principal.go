package settings

import (
	"strings"

	"github.com/cornelyard/cornelyard/ident"
)

// Principal is who a change is made for, by the token it came with.
type Principal struct {
	// Operator says that the token is an operator's; it may change everything.
	Operator bool
	// Team is the team that the token was found under, if not an operator's.
	Team ident.Team
	// TokenHash is the hash of the team's token. It is checked again against
	// the version that a change is based on.
	TokenHash string
}

// OperatorPrincipal returns the principal of an operator's token.
func OperatorPrincipal() Principal { return Principal{Operator: true} }

// TeamPrincipal returns the principal of a team's admin token.
func TeamPrincipal(team ident.Team, tokenHash string) Principal {
	return Principal{Team: team, TokenHash: tokenHash}
}

// String names the principal without its token.
func (p Principal) String() string {
	if p.Operator {
		return "operator"
	}
	return "team/" + string(p.Team)
}

// MayChange reports whether the principal's subtree holds the path.
func (p Principal) MayChange(path string) bool {
	if p.Operator {
		return true
	}
	return p.Team != "" && strings.HasPrefix(path, TeamPrefix(p.Team))
}

// current reports whether the tree still gives the token its right.
func (p Principal) hasValidToken(tree *Tree) bool {
	if p.Operator {
		return true
	}
	e, ok := tree.entries[documentPath(teamDocument, string(p.Team))]
	if !ok || e.team == nil {
		return false
	}
	for _, hash := range e.team.AdminTokenHashes {
		if hash == p.TokenHash {
			return true
		}
	}
	return false
}
