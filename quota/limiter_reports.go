package quota

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// MergeHost applies a report from another host: what it admitted since its start, by
// team.
func (l *Limiter) MergeHost(now time.Time, host ident.Host, incarnation uint64, usages map[ident.Team]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceStale(now)
	from := source{host: host}
	l.recordReport(now, from)
	if l.recordIncarnation(host, incarnation) {
		for _, a := range l.accounts {
			a.resetHost(from)
		}
	}
	state := l.sources[from]
	for team, usage := range usages {
		l.mergeHostUsage(now, from, state, team, usage)
	}
}

// mergeHostUsage applies what another host reports of one team; state is nil if the host is not
// known. Most reports repeat the total before.
func (l *Limiter) mergeHostUsage(now time.Time, from source, state *sourceState, team ident.Team, usage Usage) {
	known := state.accountOf(team)
	if known == nil {
		l.cache(now, team, usage)
		a := l.reportedAccount(now, team)
		if a == nil {
			return
		}
		known = state.addAccount(team, &accountSource{account: a, usage: a.sourceOf(from)})
	}
	if known.usage.repeats(usage) {
		return
	}
	known.account.advance(now, l.stale, l.hosts)
	known.account.mergeHost(known.usage, usage)
}

// MergeDataCentre applies a report about all hosts of another data centre: what they
// admitted since the start of the reporting host, by team. Several of its hosts send
// such totals, each with a count of its own. Those of one host are counted until it
// falls silent, then those of another.
func (l *Limiter) MergeDataCentre(now time.Time, dc ident.DataCentre, host ident.Host, incarnation uint64, usages map[ident.Team]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceStale(now)
	if l.recordIncarnation(host, incarnation) {
		for _, a := range l.accounts {
			a.resetReporter(host)
		}
	}
	counted := l.selectReporter(now, dc, host)
	if counted {
		l.recordReport(now, source{dataCentre: dc})
	}
	for team, usage := range usages {
		l.cache(now, team, usage)
		if a := l.reportedAccount(now, team); a != nil {
			if counted {
				a.advance(now, l.stale, l.hosts)
			}
			a.mergeDataCentre(dc, host, usage.Total, counted)
		}
	}
}

// selectReporter reports whether this host's totals for its data centre are counted.
// It switches to this host if the previous reporter has fallen silent.
func (l *Limiter) selectReporter(now time.Time, dc ident.DataCentre, host ident.Host) bool {
	if last := l.reporters[dc]; last.host != host && now.Sub(last.lastReportAt) < l.dataCentreStaleAfter {
		return false
	}
	l.reporters[dc] = reporter{host: host, lastReportAt: now}
	return true
}

func (l *Limiter) recordReport(now time.Time, from source) {
	state := l.sources[from]
	if state == nil {
		return
	}
	longSilent := now.Sub(state.lastReportAt) > longSilence
	if longSilent {
		state.limitedUntil = now.Add(l.limits.Window)
	}
	if state.stale || longSilent {
		l.staleChanged = true
	}
	state.lastReportAt = now
}

// recordIncarnation stores the host's incarnation and reports whether the host has
// restarted since its last report.
func (l *Limiter) recordIncarnation(host ident.Host, incarnation uint64) bool {
	previous, known := l.incarnations[host]
	l.incarnations[host] = incarnation
	return known && previous != incarnation
}

// cache stores what a host that has run for a whole window reports as used in it, for an
// account that is opened later.
func (l *Limiter) cache(now time.Time, team ident.Team, usage Usage) {
	if usage.WarmedUp && l.accounts[team] == nil {
		l.cached[team] = cachedUsage{Usage: usage, at: now}
	}
}
