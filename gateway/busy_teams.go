package gateway

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/periodic"
)

const (
	// busyInterval is the time between two looks for busy teams.
	busyInterval = 500 * time.Millisecond
	// busyRepeat is how long a mark holds before it is written again.
	busyRepeat = 4 * time.Second
	// recallPause is the wait between two tries to read the marks.
	recallPause = 100 * time.Millisecond
	// busyMarkers is the number of hosts, of those that hear each other, that write
	// marks; one of them may not reach the store.
	busyMarkers = 2
)

// rememberBusyTeams reads which teams were busy before this host started, and then
// marks those that are, until ctx ends. If all hosts end at once, the marks are all
// that is left of the teams' use.
func (g *Gateway) rememberBusyTeams(ctx context.Context) error {
	g.recallBusyTeams(ctx)
	marked := make(map[ident.Team]time.Time)
	return periodic.Run(ctx, busyInterval, func(now time.Time) { g.markBusyTeams(ctx, now, marked) })
}

// recallBusyTeams tries to read the marks for as long as they are of use.
func (g *Gateway) recallBusyTeams(ctx context.Context) {
	end := time.Now().Add(g.config.Quota.Window.Std())
	for ctx.Err() == nil && time.Now().Before(end) {
		ages, err := g.directory.LoadBusyTeams(ctx)
		if err == nil {
			g.knowledge.quotas.RestoreBusyTeams(time.Now(), ages)
			return
		}
		g.logger.Warn().Err(err).Msg("Marks of busy teams could not be read.")
		periodic.Pause(ctx, recallPause)
	}
}

func (g *Gateway) markBusyTeams(ctx context.Context, now time.Time, marked map[ident.Team]time.Time) {
	if g.knowledge.peers.before(now, g.config.Host) >= busyMarkers {
		return
	}
	var fresh []ident.Team
	for _, team := range g.knowledge.quotas.BusyTeams(now) {
		if now.Sub(marked[team]) > busyRepeat {
			fresh = append(fresh, team)
		}
	}
	if len(fresh) == 0 {
		return
	}
	if err := g.directory.SaveBusyTeams(ctx, fresh); err != nil {
		g.logger.Warn().Err(err).Int("teams", len(fresh)).Msg("Busy teams could not be marked.")
		return
	}
	for _, team := range fresh {
		marked[team] = now
	}
}
