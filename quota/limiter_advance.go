package quota

import "time"

// advance moves all accounts to now, then finds the sources whose reports are missing,
// or were for long within the window.
func (l *Limiter) advance(now time.Time) {
	for _, a := range l.accounts {
		a.advance(now, l.stale, l.hosts)
	}
	l.findStale(now)
}

// advanceAccount moves one account to now. The others are moved too if the stale sources may
// have changed, because what was assumed until now depends on the earlier ones.
func (l *Limiter) advanceAccount(now time.Time, a *account) {
	l.advanceStale(now)
	a.advance(now, l.stale, l.hosts)
}

// advanceStale moves all accounts to now if the stale sources may have changed.
func (l *Limiter) advanceStale(now time.Time) {
	if l.staleChanged || !now.Before(l.staleCheckAt) {
		l.advance(now)
	}
}

// findStale finds the sources whose reports are missing, or were for long within the window,
// and the earliest time at which that may change without a report.
func (l *Limiter) findStale(now time.Time) {
	l.stale, l.staleChanged = nil, false
	l.staleCheckAt = now.Add(staleAfter)
	for from, state := range l.sources {
		missingAt := state.lastReportAt.Add(l.staleAfterOf(from))
		state.stale = now.After(missingAt)
		recovered := !state.stale && now.Before(state.limitedUntil)
		if state.stale || recovered {
			l.stale = append(l.stale, staleSource{source: from, hosts: state.hosts, recovered: recovered})
		}
		if !state.stale && missingAt.Before(l.staleCheckAt) {
			l.staleCheckAt = missingAt
		}
		if recovered && state.limitedUntil.Before(l.staleCheckAt) {
			l.staleCheckAt = state.limitedUntil
		}
	}
}
