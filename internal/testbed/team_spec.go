package testbed

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// TeamSpec configures a team with one token per kind.
type TeamSpec struct {
	Name        ident.Team
	Token       string
	AdminToken  string
	DefaultTier ident.Tier
}

func (t TeamSpec) declaration() settings.Team {
	team := settings.Team{
		Name:              t.Name,
		CallerTokenHashes: []string{settings.TokenHash(t.Token)},
		DefaultTier:       t.DefaultTier,
	}
	if t.AdminToken != "" {
		team.AdminTokenHashes = []string{settings.TokenHash(t.AdminToken)}
	}
	return team
}
