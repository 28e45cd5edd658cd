package settings_test

import (
	"fmt"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

func raceTeam(team int) ident.Team { return ident.Team(fmt.Sprintf("team-%d", team)) }

func raceTeamPath(team int) string { return settings.TeamPrefix(raceTeam(team)) + "team.json" }

func raceAdmin(team int) string { return fmt.Sprintf("%064x", team+1) }

// raceTeamBody returns the team's document with a caller token hash that ends in
// suffix, a string of hex digits.
func raceTeamBody(team int, suffix string) string {
	return fmt.Sprintf(`{"adminTokenHashes": [%q], "callerTokenHashes": ["%032x%032s"], "defaultTier": "gold"}`, raceAdmin(team), team+1, suffix)
}

// initialChange declares the tier and the teams that the writers change.
func initialChange() settings.Change {
	c := change("tiers/gold.json", tierBody("30s"))
	for team := range raceTeams {
		c.Puts = append(c.Puts, settings.Document{Path: raceTeamPath(team), Body: raceTeamBody(team, "ff")})
	}
	return c
}
