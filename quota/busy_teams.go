package quota

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// busyShare is the part of its limit from which on a team's use is worth
	// remembering beyond the end of all hosts.
	busyShare = 0.55
	// calmShare is the part of its limit that a team is assumed to have used which
	// was not remembered as busy.
	calmShare = 0.5
	// calmLimit is the part of the limit that such a team may use in the first
	// window after a start.
	calmLimit = 0.85
)

// BusyTeams returns the teams whose use a host would have to know that starts when all
// others have ended.
func (l *Limiter) BusyTeams(now time.Time) []ident.Team {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(now)
	var busy []ident.Team
	for team, a := range l.accounts {
		if a.told.sum > busyShare*most(a.limits, a.quota) && !l.cold(now) {
			busy = append(busy, team)
		}
	}
	return busy
}

// RestoreBusyTeams tells a host that starts which teams were busy before, and how long ago.
// Without it, all are taken for busy.
func (l *Limiter) RestoreBusyTeams(now time.Time, ages map[ident.Team]time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recalled = make(map[ident.Team]bool, len(ages))
	for team, age := range ages {
		if age < 2*l.limits.Window {
			l.recalled[team] = true
		}
	}
	l.settle(now)
	for team, a := range l.accounts {
		if a.assumption == busy && !l.recalled[team] {
			a.assume(l.started, now, calm)
		}
	}
}

const (
	// recallGrace is how long after its start a host lets requests through that it
	// would refuse, because it does not know yet which teams were busy.
	recallGrace = 150 * time.Millisecond
	// graceShare bounds what it lets through so, as a part of the limit.
	graceShare = 0.02
)

// awaitsRecall says that the marks of busy teams have not been read yet, and that
// the account may be used meanwhile.
func (l *Limiter) awaitsRecall(now time.Time, a *account) bool {
	return l.recalled == nil && now.Sub(l.started) < recallGrace &&
		a.counted < graceShare*most(a.limits, a.quota)
}
