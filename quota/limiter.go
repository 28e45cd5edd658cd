package quota

import (
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// staleAfter is the least time for which a host's or a data centre's reports may be missing
// before its usage is assumed. staleIntervals is the same as a multiple of the interval of
// its reports: two of them may be lost.
const (
	staleAfter     = 250 * time.Millisecond
	staleIntervals = 2.5
)

// longSilence is how long a source must have been silent for its share to be kept free
// for another window after its return. Its usage is known then, but not the time of it.
const longSilence = time.Second

// cachedUsageLifetime is how long another host's report of the window may be used to
// open an account.
const cachedUsageLifetime = 2 * staleAfter

// Limiter holds the accounts of all teams on one host. It is safe for concurrent use.
type Limiter struct {
	limits  Limits
	started time.Time

	mu sync.Mutex
	// teams holds the teams of the configuration that have a quota.
	teams map[ident.Team]*route.Team
	// hostStaleAfter and dataCentreStaleAfter are the times after which reports of hosts and
	// of data centres count as missing.
	hostStaleAfter       time.Duration
	dataCentreStaleAfter time.Duration

	accounts map[ident.Team]*account
	// sources holds the other hosts and data centres that report usage.
	sources map[source]*sourceState
	// reporters holds the host of each data centre whose totals are counted.
	reporters map[ident.DataCentre]reporter
	// incarnations holds the incarnation of each other host that reported last.
	incarnations map[ident.Host]uint64
	// busyBeforeStart holds the teams that were busy before this host started, or is
	// nil while that is not known.
	busyBeforeStart map[ident.Team]bool
	// cached holds what other hosts last reported as used in the window.
	cached map[ident.Team]cachedUsage
	// stale is replaced, not changed, because the accounts refer to it. It has to be
	// determined again at staleCheckAt, or earlier if staleChanged is set.
	stale        []staleSource
	staleCheckAt time.Time
	staleChanged bool
	// hosts is the number of all hosts, including this one.
	hosts int
}

// NewLimiter returns a limiter without accounts, for a host that starts now.
func NewLimiter(now time.Time, l Limits) *Limiter {
	return &Limiter{
		limits:       l,
		started:      now,
		accounts:     make(map[ident.Team]*account),
		sources:      make(map[source]*sourceState),
		reporters:    make(map[ident.DataCentre]reporter),
		incarnations: make(map[ident.Host]uint64),
		cached:       make(map[ident.Team]cachedUsage),
		hosts:        1,

		hostStaleAfter:       staleAfter,
		dataCentreStaleAfter: staleAfter,
	}
}

// SetTeams sets the teams of the configuration. What other hosts report of a team with a quota
// counts here, and is reported on, even if this host has got no request of it.
func (l *Limiter) SetTeams(teams []*route.Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.teams = make(map[ident.Team]*route.Team)
	for _, team := range teams {
		if team.Quota.Limited() {
			l.teams[team.Name] = team
		}
	}
}

// reportedAccount returns the account of a team of which another host reports usage, or nil if
// the team is not known or has no quota.
func (l *Limiter) reportedAccount(now time.Time, team ident.Team) *account {
	if a := l.accounts[team]; a != nil {
		return a
	}
	if configured := l.teams[team]; configured != nil {
		return l.account(now, configured)
	}
	return nil
}

// SetReportIntervals sets the longest regular times between two reports of another host, and
// of another data centre.
func (l *Limiter) SetReportIntervals(host, dataCentre time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hostStaleAfter = missingAfter(host)
	l.dataCentreStaleAfter = missingAfter(dataCentre)
	l.staleChanged = true
}

func missingAfter(interval time.Duration) time.Duration {
	return max(staleAfter, time.Duration(staleIntervals*float64(interval)))
}

// staleAfterOf returns the time after which reports of a source count as missing.
func (l *Limiter) staleAfterOf(from source) time.Duration {
	if from.dataCentre != "" {
		return l.dataCentreStaleAfter
	}
	return l.hostStaleAfter
}

// SetPeers sets the other hosts that report individually, and for each data centre
// that reports only totals its number of hosts.
func (l *Limiter) SetPeers(now time.Time, others []ident.Host, dataCentres map[ident.DataCentre]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.sources
	l.sources = make(map[source]*sourceState, len(others)+len(dataCentres))
	l.hosts = 1
	for _, host := range others {
		l.addSource(now, source{host: host}, 1, previous)
	}
	for dc, hosts := range dataCentres {
		l.addSource(now, source{dataCentre: dc}, hosts, previous)
	}
	l.advance(now)
}

// addSource adds a source. A new one is treated as if it had reported now.
func (l *Limiter) addSource(now time.Time, from source, hosts int, previous map[source]*sourceState) {
	state := previous[from]
	if state == nil {
		state = &sourceState{lastReportAt: now}
	}
	state.hosts = hosts
	l.sources[from] = state
	l.hosts += hosts
}

// HostUsage returns this host's usage by team, for the hosts that it exchanges
// individual reports with.
func (l *Limiter) HostUsage(now time.Time) map[ident.Team]Usage {
	return l.usages(now, func(a *account) float64 { return a.hostUsage })
}

// DataCentreUsage returns the usage of this host's data centre by team, for the hosts
// of other data centres.
func (l *Limiter) DataCentreUsage(now time.Time) map[ident.Team]Usage {
	return l.usages(now, func(a *account) float64 { return a.dataCentreUsage })
}

func (l *Limiter) usages(now time.Time, total func(*account) float64) map[ident.Team]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	usages := make(map[ident.Team]Usage, len(l.accounts))
	for team, a := range l.accounts {
		usage := Usage{Total: total(a), WarmedUp: !l.warmingUp(now)}
		if usage.WarmedUp {
			usage.Window, usage.RecentHalf = a.window.sum, a.halfWindow.sum
		}
		usages[team] = usage
	}
	return usages
}

// warmingUp reports whether this host has not run for a whole window yet.
func (l *Limiter) warmingUp(now time.Time) bool { return now.Sub(l.started) < l.limits.Window }

// Admit charges the cost of a request to its team if it fits in the quota, or returns
// how long the team has to wait.
func (l *Limiter) Admit(now time.Time, team *route.Team, cost float64) Decision {
	if !team.Quota.Limited() {
		return Decision{Allowed: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, team)
	l.advanceAccount(now, a)
	d := Decision{Used: a.window.sum, Limit: a.limit(now)}
	d.Allowed = a.admit(now, cost)
	switch {
	case d.Allowed:
	case l.inStartGrace(now, a):
		a.charge(cost)
		d.Allowed = true
	default:
		d.RetryAfter = a.retryAfter(now, cost)
	}
	return d
}

// Refund returns the cost of an admitted request that did not run.
func (l *Limiter) Refund(team *route.Team, cost float64) {
	if !team.Quota.Limited() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[team.Name]; a != nil {
		a.refund(cost)
	}
}

// account returns the team's account, with the quota of the newest configuration.
func (l *Limiter) account(now time.Time, team *route.Team) *account {
	a := l.accounts[team.Name]
	if a == nil {
		a = l.open(now, team)
		l.accounts[team.Name] = a
	}
	if a.quota != team.Quota {
		a.setQuota(now, team.Quota)
	}
	return a
}

// open returns a new account for a team. Earlier usage is known if another host has
// reported it recently or this host has run for a whole window. Otherwise it is
// assumed.
func (l *Limiter) open(now time.Time, team *route.Team) *account {
	previous, known := l.cached[team.Name]
	if now.Sub(previous.at) > cachedUsageLifetime {
		previous, known = cachedUsage{}, false
	}
	switch {
	case known || !l.warmingUp(now):
		return newAccount(now, l.limits, team.Quota, previous.Window-previous.RecentHalf, previous.RecentHalf)
	case l.busyBeforeStart != nil && !l.busyBeforeStart[team.Name]:
		return newAssumedAccount(l.started, now, l.limits, team.Quota, normalAssumption)
	default:
		return newAssumedAccount(l.started, now, l.limits, team.Quota, busyAssumption)
	}
}
