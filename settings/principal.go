package settings

import (
	"strings"

	"github.com/cornelyard/cornelyard/ident"
)

// Principal is the authenticated sender of a change, identified by its token.
type Principal struct {
	// Operator is true for an operator's token, which may change every document.
	Operator bool
	// Team is the team that declares the token, if it is not an operator's.
	Team ident.Team
	// TokenHash is the hash of the team's token. Each attempt checks it again against
	// the version that the change is applied to, since the token may have been removed
	// in the meantime.
	TokenHash string
}

// OperatorPrincipal returns the principal of an operator's token.
func OperatorPrincipal() Principal { return Principal{Operator: true} }

// TeamPrincipal returns the principal of a team's admin token.
func TeamPrincipal(team ident.Team, tokenHash string) Principal {
	return Principal{Team: team, TokenHash: tokenHash}
}

// String returns the principal's name in the history; it does not contain the token.
func (p Principal) String() string {
	if p.Operator {
		return "operator"
	}
	return "team/" + string(p.Team)
}

// MayChange reports whether the principal may change the document at path.
func (p Principal) MayChange(path string) bool {
	if p.Operator {
		return true
	}
	return p.Team != "" && strings.HasPrefix(path, TeamPrefix(p.Team))
}

// hasValidToken reports whether the tree still declares the principal's token.
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
