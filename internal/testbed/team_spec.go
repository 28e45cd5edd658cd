package testbed

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// TeamSpec describes one team with one token of each kind.
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
