package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// competition counts the requests that other hosts have queued, as seen from one request.
type competition struct {
	// decided is the number of requests that come first by rank or because they can still be on
	// time.
	decided int
	// competing is the number of requests of the same rank that, like it, can or can't be on
	// time, and earlier the estimated number of those that are more urgent.
	competing int
	earlier   int
}

// earlierShare returns the part of the competing requests that is more urgent.
func (c competition) earlierShare() float64 { return float64(c.earlier) / float64(max(c.competing, 1)) }

// competition counts the requests of the other hosts whose states are up to date.
func (s *Scheduler) competition(now time.Time, name ident.Pool, w *queuedRequest) competition {
	laxity := w.latestStart.Sub(now)
	var c competition
	for peer := range s.peerStates() {
		age := now.Sub(peer.receivedAt)
		if age > s.stateTTL {
			continue
		}
		for i := range peer.state.Backlogs {
			b := &peer.state.Backlogs[i]
			if b.Pool != name {
				continue
			}
			ahead := b.countAhead(age, w, laxity)
			if !b.competes(age, w) {
				c.decided += ahead
				continue
			}
			c.competing += b.Count
			c.earlier += ahead
		}
	}
	return c
}
