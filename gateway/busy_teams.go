package gateway

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/periodic"
)

const (
	// busyCheckInterval is the time between two looks for busy teams.
	busyCheckInterval = 500 * time.Millisecond
	// busyMarkInterval is how long a mark holds before it is written again.
	busyMarkInterval = 4 * time.Second
	// restoreRetryDelay is the wait between two tries to read the marks.
	restoreRetryDelay = 100 * time.Millisecond
	// busyMarkWriters is the number of hosts, of those that hear each other, that write
	// marks; one of them may not reach the store.
	busyMarkWriters = 2
)

// persistBusyTeams reads which teams were busy before this host started, and then
// marks those that are, until ctx ends. If all hosts end at once, the marks are all
// that is left of the teams' use.
func (g *Gateway) persistBusyTeams(ctx context.Context) error {
	g.restoreBusyTeams(ctx)
	lastMarked := make(map[ident.Team]time.Time)
	return periodic.Run(ctx, busyCheckInterval, func(now time.Time) { g.markBusyTeams(ctx, now, lastMarked) })
}

// restoreBusyTeams tries to read the marks for as long as they are of use.
func (g *Gateway) restoreBusyTeams(ctx context.Context) {
	end := time.Now().Add(g.config.Quota.Window.Std())
	for ctx.Err() == nil && time.Now().Before(end) {
		ages, err := g.directory.LoadBusyTeams(ctx)
		if err == nil {
			g.state.quotas.RestoreBusyTeams(time.Now(), ages)
			return
		}
		g.logger.Warn().Err(err).Msg("Marks of busy teams could not be read.")
		periodic.Pause(ctx, restoreRetryDelay)
	}
}

func (g *Gateway) markBusyTeams(ctx context.Context, now time.Time, lastMarked map[ident.Team]time.Time) {
	if g.state.peers.activeBefore(now, g.config.Host) >= busyMarkWriters {
		return
	}
	var due []ident.Team
	for _, team := range g.state.quotas.BusyTeams(now) {
		if now.Sub(lastMarked[team]) > busyMarkInterval {
			due = append(due, team)
		}
	}
	if len(due) == 0 {
		return
	}
	if err := g.directory.SaveBusyTeams(ctx, due); err != nil {
		g.logger.Warn().Err(err).Int("teams", len(due)).Msg("Busy teams could not be marked.")
		return
	}
	for _, team := range due {
		lastMarked[team] = now
	}
}
