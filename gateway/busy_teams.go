package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/periodic"
)

const (
	// busyCheckInterval is the time between two checks for busy teams.
	busyCheckInterval = 500 * time.Millisecond
	// busyMarkInterval is the age at which a mark is written again. Marks older than
	// earlyMarkInterval are then written with it, so that teams don't need a call each.
	busyMarkInterval  = 4 * time.Second
	earlyMarkInterval = busyMarkInterval / 2
	// restoreRetryDelay is the delay before another attempt to read the marks.
	restoreRetryDelay = 100 * time.Millisecond
	// busyMarkWriters is how many hosts of a group of connected peers write marks. It is
	// more than one because a host may be unable to reach the store.
	busyMarkWriters = 2
)

// persistBusyTeams restores the teams that were busy before this host started, and then
// marks busy teams in the store until ctx is done. If all hosts stop at once, only these
// marks preserve information about the teams' usage.
func (g *Gateway) persistBusyTeams(ctx context.Context) error {
	g.restoreBusyTeams(ctx)
	lastMarked := make(map[ident.Team]time.Time)
	storeReturns := g.state.storeReturns.Load()
	return periodic.Run(ctx, busyCheckInterval, func(now time.Time) {
		if returns := g.state.storeReturns.Load(); returns != storeReturns {
			storeReturns = returns
			clear(lastMarked)
		}
		g.markBusyTeams(ctx, now, lastMarked)
	})
}

// restoreBusyTeams reads the marks, with retries for one quota window. After that they
// would no longer matter.
func (g *Gateway) restoreBusyTeams(ctx context.Context) {
	end := time.Now().Add(g.config.Quota.Window.Std())
	for ctx.Err() == nil && time.Now().Before(end) {
		ages, err := g.directory.LoadBusyTeams(ctx)
		if err == nil {
			g.state.quotas.RestoreBusyTeams(time.Now(), ages)
			return
		}
		g.logger.Warn().Err(err).Msg("Reading the busy teams from the store failed; retrying for one quota window.")
		periodic.Sleep(ctx, restoreRetryDelay)
	}
}

func (g *Gateway) markBusyTeams(ctx context.Context, now time.Time, lastMarked map[ident.Team]time.Time) {
	if g.state.peers.activeBefore(now, g.config.Host) >= busyMarkWriters {
		return
	}
	due := teamsToMark(now, g.state.quotas.BusyTeams(now), lastMarked)
	if len(due) == 0 {
		return
	}
	if err := g.directory.SaveBusyTeams(ctx, due); err != nil {
		g.logger.Warn().Err(err).Int("teams", len(due)).Msg("Marking busy teams in the store failed; will retry.")
		return
	}
	for _, team := range due {
		lastMarked[team] = now
	}
	// A mark that is due again counts as none.
	maps.DeleteFunc(lastMarked, func(_ ident.Team, at time.Time) bool { return now.Sub(at) > busyMarkInterval })
}

// teamsToMark returns the busy teams whose marks are to be written now, in one call.
func teamsToMark(now time.Time, busy []ident.Team, lastMarked map[ident.Team]time.Time) []ident.Team {
	isDue := false
	var teams []ident.Team
	for _, team := range busy {
		age := now.Sub(lastMarked[team])
		isDue = isDue || age > busyMarkInterval
		if age > earlyMarkInterval {
			teams = append(teams, team)
		}
	}
	if !isDue {
		return nil
	}
	return teams
}
