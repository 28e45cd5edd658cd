package quota

import (
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// silence is how long a host may not be heard before its use is assumed: two lost
// heartbeats.
const silence = 250 * time.Millisecond

// Ledger keeps the accounts of all teams on one host. It is safe for concurrent
// use.
type Ledger struct {
	limits  Limits
	started time.Time

	mu       sync.Mutex
	accounts map[ident.Team]*account
	// lastHeard tells when each other host was heard last, and incarnations which
	// process of it that was.
	lastHeard    map[ident.Host]time.Time
	incarnations map[ident.Host]uint64
	// recalled holds the teams that were busy before this host started; nil means
	// that it is not known.
	recalled map[ident.Team]bool
	// learned is what others said was used in the window, while this host is cold.
	learned map[ident.Team]Use
	silent  []ident.Host
}

// NewLedger returns a ledger without accounts, for a host that starts now.
func NewLedger(now time.Time, l Limits) *Ledger {
	return &Ledger{
		limits:    l,
		started:   now,
		accounts:  make(map[ident.Team]*account),
		lastHeard: make(map[ident.Host]time.Time),

		incarnations: make(map[ident.Host]uint64),
		learned:      make(map[ident.Team]Use),
	}
}

// Members tells which other hosts there are.
func (l *Ledger) Members(now time.Time, others []ident.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := make(map[ident.Host]time.Time, len(others))
	for _, host := range others {
		at, ok := l.lastHeard[host]
		if !ok {
			at = now
		}
		known[host] = at
	}
	l.lastHeard = known
	l.settle(now)
}

// settle brings all buckets up to now and finds the silent hosts.
func (l *Ledger) settle(now time.Time) {
	for _, a := range l.accounts {
		a.advance(now, l.silent, l.hosts())
	}
	l.silent = l.silent[:0]
	for host, at := range l.lastHeard {
		if now.Sub(at) > silence {
			l.silent = append(l.silent, host)
		}
	}
}

func (l *Ledger) hosts() int { return len(l.lastHeard) + 1 }

// Hear takes in what a process of another host has let through in all, by team.
func (l *Ledger) Hear(now time.Time, host ident.Host, incarnation uint64, uses map[ident.Team]Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(now)
	l.lastHeard[host] = now
	if before, known := l.incarnations[host]; known && before != incarnation {
		for _, a := range l.accounts {
			a.restarted(host)
		}
	}
	l.incarnations[host] = incarnation
	for team, use := range uses {
		if use.Window > 0 && l.cold(now) {
			l.learned[team] = use
		}
		if a := l.accounts[team]; a != nil {
			a.hear(host, use.Total)
		}
	}
}

// Uses returns what this host tells the others, by team.
func (l *Ledger) Uses(now time.Time) map[ident.Team]Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(now)
	uses := make(map[ident.Team]Use, len(l.accounts))
	for team, a := range l.accounts {
		use := Use{Total: a.used}
		if !l.cold(now) {
			use.Window, use.Half = a.window.sum, a.half.sum
		}
		uses[team] = use
	}
	return uses
}

// cold says that this host has not run for a whole window.
func (l *Ledger) cold(now time.Time) bool { return now.Sub(l.started) < l.limits.Window }

// Take lets a request through, or tells how long the team has to wait.
func (l *Ledger) Take(now time.Time, team *route.Team, cost float64) Verdict {
	if !team.Quota.Limited() {
		return Verdict{Allowed: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, team)
	l.settle(now)
	v := Verdict{Used: a.window.sum, Limit: a.limit(now)}
	v.Allowed = a.take(now, cost)
	switch {
	case v.Allowed:
	case l.awaitsRecall(now, a):
		a.charge(cost)
		v.Allowed = true
	default:
		v.Wait = a.wait(now, cost)
	}
	return v
}

// GiveBack returns what a request took that did not run.
func (l *Ledger) GiveBack(team *route.Team, cost float64) {
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
func (l *Ledger) account(now time.Time, team *route.Team) *account {
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

// open returns an account for a team without one. A host that has run for a whole
// window, or was told by another, knows what was used before; else it is assumed.
func (l *Ledger) open(now time.Time, team *route.Team) *account {
	before, known := l.learned[team.Name]
	switch {
	case known || !l.cold(now):
		return newAccount(now, l.limits, team.Quota, before.Window-before.Half, before.Half)
	case l.recalled != nil && !l.recalled[team.Name]:
		return newAssumedAccount(l.started, now, l.limits, team.Quota, calm)
	default:
		return newAssumedAccount(l.started, now, l.limits, team.Quota, busy)
	}
}
