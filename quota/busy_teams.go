package quota

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// busyThreshold is the part of its limit above which a team's usage has to be
	// remembered in case all hosts stop.
	busyThreshold = 0.55
	// normalUsedShare is the part of its limit that a team is assumed to have used if
	// it was not remembered as busy.
	normalUsedShare = 0.5
	// normalStartShare is the part of the limit that such a team may use in the first
	// window after a start.
	normalStartShare = 0.85
)

// BusyTeams returns the teams that have to be remembered for a host that starts when
// all others have stopped.
func (l *Limiter) BusyTeams(now time.Time) []ident.Team {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	var busy []ident.Team
	for team, a := range l.accounts {
		if a.reported.sum > busyThreshold*windowLimit(a.limits, a.quota) && !l.warmingUp(now) {
			busy = append(busy, team)
		}
	}
	return busy
}

// RestoreBusyTeams sets which teams were busy before this host started, and how long
// ago. Until it is called, every team is assumed to have been busy.
func (l *Limiter) RestoreBusyTeams(now time.Time, ages map[ident.Team]time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busyBeforeStart = make(map[ident.Team]bool, len(ages))
	for team, age := range ages {
		if age < 2*l.limits.Window {
			l.busyBeforeStart[team] = true
		}
	}
	l.advance(now)
	for team, a := range l.accounts {
		if a.assumption == busyAssumption && !l.busyBeforeStart[team] {
			a.assume(l.started, now, normalAssumption)
		}
	}
}

const (
	// startGrace is how long after its start a host admits requests over the limit
	// while the busy teams are not restored yet.
	startGrace = 150 * time.Millisecond
	// startGraceShare bounds what a team may use in that time, as a part of the limit.
	startGraceShare = 0.02
)

// inStartGrace reports whether the busy teams are still to be restored and the account
// may be charged over its limit until then.
func (l *Limiter) inStartGrace(now time.Time, a *account) bool {
	return l.busyBeforeStart == nil && now.Sub(l.started) < startGrace &&
		a.total < startGraceShare*windowLimit(a.limits, a.quota)
}
