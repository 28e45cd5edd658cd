package quota

import (
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// silence is how long a host, or a data centre, may not be heard before its use is
// assumed: two lost heartbeats.
const silence = 250 * time.Millisecond

// longSilence is how long a source must have been silent for its share to be kept free
// for a window longer: what it used is known then, but not when.
const longSilence = time.Second

// learnedMemory is how long what others said of the window counts for accounts that
// are opened.
const learnedMemory = 2 * silence

// Limiter keeps the accounts of all teams on one host. It is safe for concurrent
// use.
type Limiter struct {
	limits  Limits
	started time.Time

	mu       sync.Mutex
	accounts map[ident.Team]*account
	// sources holds who else tells of use.
	sources map[source]*sourceState
	// tellers holds the host of each data centre whose sums are counted.
	tellers map[ident.DataCentre]teller
	// incarnations tells which process of each other host was heard last.
	incarnations map[ident.Host]uint64
	// recalled holds the teams that were busy before this host started; nil means
	// that it is not known.
	recalled map[ident.Team]bool
	// learned is what others said lately was used in the window.
	learned map[ident.Team]learnedUse
	silent  []silentSource
	// hosts is the number of all hosts, with this one.
	hosts int
}

// NewLimiter returns a ledger without accounts, for a host that starts now.
func NewLimiter(now time.Time, l Limits) *Limiter {
	return &Limiter{
		limits:       l,
		started:      now,
		accounts:     make(map[ident.Team]*account),
		sources:      make(map[source]*sourceState),
		tellers:      make(map[ident.DataCentre]teller),
		incarnations: make(map[ident.Host]uint64),
		learned:      make(map[ident.Team]learnedUse),
		hosts:        1,
	}
}

// SetPeers tells which other hosts there are that tell of themselves, and of how many
// hosts in other data centres only sums are told.
func (l *Limiter) SetPeers(now time.Time, others []ident.Host, sums map[ident.DataCentre]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.sources
	l.sources = make(map[source]*sourceState, len(others)+len(sums))
	l.hosts = 1
	for _, host := range others {
		l.join(now, source{host: host}, 1, before)
	}
	for dc, hosts := range sums {
		l.join(now, source{dataCentre: dc}, hosts, before)
	}
	l.settle(now)
}

// join adds a source, which counts as heard now if it is new.
func (l *Limiter) join(now time.Time, from source, hosts int, before map[source]*sourceState) {
	state := before[from]
	if state == nil {
		state = &sourceState{heard: now}
	}
	state.hosts = hosts
	l.sources[from] = state
	l.hosts += hosts
}

// settle brings all accounts up to now and finds the silent sources, and those that
// were silent for long within the window.
func (l *Limiter) settle(now time.Time) {
	for _, a := range l.accounts {
		a.advance(now, l.silent, l.hosts)
	}
	l.silent = l.silent[:0]
	for from, state := range l.sources {
		silent := now.Sub(state.heard) > silence
		if silent || now.Before(state.apartUntil) {
			l.silent = append(l.silent, silentSource{source: from, hosts: state.hosts, back: !silent})
		}
	}
}

// MergeHost takes in what a process of another host has let through in all, by team.
func (l *Limiter) MergeHost(now time.Time, host ident.Host, incarnation uint64, uses map[ident.Team]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(now)
	from := source{host: host}
	l.heard(now, from)
	if l.restarted(host, incarnation) {
		for _, a := range l.accounts {
			a.restarted(from)
		}
	}
	l.learn(now, uses)
	for team, use := range uses {
		if a := l.accounts[team]; a != nil {
			a.hear(from, use)
		}
	}
}

// MergeDataCentre takes in what the hosts of another data centre have let through, as one of
// them counted since its start. Several of them tell that, and each counts for
// itself; the news of one are taken, and of another once that one is silent.
func (l *Limiter) MergeDataCentre(now time.Time, dc ident.DataCentre, host ident.Host, incarnation uint64, uses map[ident.Team]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(now)
	if l.restarted(host, incarnation) {
		for _, a := range l.accounts {
			a.forget(host)
		}
	}
	l.learn(now, uses)
	counted := l.takesFrom(now, dc, host)
	if counted {
		l.heard(now, source{dataCentre: dc})
	}
	for team, use := range uses {
		if a := l.accounts[team]; a != nil {
			a.hearSum(dc, host, use.Total, counted)
		}
	}
}

// takesFrom says whether this host's sums of its data centre are counted.
func (l *Limiter) takesFrom(now time.Time, dc ident.DataCentre, host ident.Host) bool {
	if last := l.tellers[dc]; last.host != host && now.Sub(last.heard) < silence {
		return false
	}
	l.tellers[dc] = teller{host: host, heard: now}
	return true
}

func (l *Limiter) heard(now time.Time, from source) {
	state := l.sources[from]
	if state == nil {
		return
	}
	if now.Sub(state.heard) > longSilence {
		state.apartUntil = now.Add(l.limits.Window)
	}
	state.heard = now
}

// restarted says whether this is another process of the host than was heard before.
func (l *Limiter) restarted(host ident.Host, incarnation uint64) bool {
	before, known := l.incarnations[host]
	l.incarnations[host] = incarnation
	return known && before != incarnation
}

// learn notes what hosts that have run for a window say was used in it, for accounts
// that are opened later.
func (l *Limiter) learn(now time.Time, uses map[ident.Team]Usage) {
	for team, use := range uses {
		if use.WarmedUp {
			l.learned[team] = learnedUse{Usage: use, at: now}
		}
	}
}

// HostUsage returns what this host tells the hosts that it hears itself, by team.
func (l *Limiter) HostUsage(now time.Time) map[ident.Team]Usage {
	return l.uses(now, func(a *account) float64 { return a.used })
}

// DataCentreUsage returns what this host tells those in other data centres of the hosts in
// its own, by team.
func (l *Limiter) DataCentreUsage(now time.Time) map[ident.Team]Usage {
	return l.uses(now, func(a *account) float64 { return a.nearUsed })
}

func (l *Limiter) uses(now time.Time, total func(*account) float64) map[ident.Team]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(now)
	uses := make(map[ident.Team]Usage, len(l.accounts))
	for team, a := range l.accounts {
		use := Usage{Total: total(a), WarmedUp: !l.cold(now)}
		if use.WarmedUp {
			use.Window, use.RecentHalf = a.window.sum, a.half.sum
		}
		uses[team] = use
	}
	return uses
}

// cold says that this host has not run for a whole window.
func (l *Limiter) cold(now time.Time) bool { return now.Sub(l.started) < l.limits.Window }

// Admit lets a request through, or tells how long the team has to wait.
func (l *Limiter) Admit(now time.Time, team *route.Team, cost float64) Decision {
	if !team.Quota.Limited() {
		return Decision{Allowed: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, team)
	l.settle(now)
	v := Decision{Used: a.window.sum, Limit: a.limit(now)}
	v.Allowed = a.take(now, cost)
	switch {
	case v.Allowed:
	case l.awaitsRecall(now, a):
		a.charge(cost)
		v.Allowed = true
	default:
		v.RetryAfter = a.wait(now, cost)
	}
	return v
}

// Refund returns what a request took that did not run.
func (l *Limiter) Refund(team *route.Team, cost float64) {
	if !team.Quota.Limited() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[team.Name]; a != nil {
		a.giveBack(cost)
	}
}

// account returns the team's account, under the limits of its newest
// configuration.
func (l *Limiter) account(now time.Time, team *route.Team) *account {
	a := l.accounts[team.Name]
	if a == nil {
		a = l.open(now, team)
		l.accounts[team.Name] = a
	}
	if a.quota != team.Quota {
		a.requota(now, team.Quota)
	}
	return a
}

// open returns an account for a team without one. A host that was told lately by
// another, or has run for a whole window, knows what was used before; else it is
// assumed.
func (l *Limiter) open(now time.Time, team *route.Team) *account {
	before, known := l.learned[team.Name]
	if now.Sub(before.at) > learnedMemory {
		before, known = learnedUse{}, false
	}
	switch {
	case known || !l.cold(now):
		return newAccount(now, l.limits, team.Quota, before.Window-before.RecentHalf, before.RecentHalf)
	case l.recalled != nil && !l.recalled[team.Name]:
		return newAssumedAccount(l.started, now, l.limits, team.Quota, calm)
	default:
		return newAssumedAccount(l.started, now, l.limits, team.Quota, busy)
	}
}
