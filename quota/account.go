package quota

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// account is what one team uses over all hosts.
type account struct {
	limits Limits
	quota  route.Quota
	// before is the most that could be used in a window before the quota changed
	// at changed.
	before  float64
	changed time.Time

	window *window
	// half is the second half of the window. It is bounded as well, so that a
	// restart of all hosts right after a burst, which they then do not know of,
	// stays within the limit.
	half *window
	// told is what this host and the others said they let through within the window,
	// without anything assumed.
	told *window
	at   time.Time
	// unknownUntil is the end of the first window of a host that did not know what
	// was used before, for which assumption holds.
	unknownUntil time.Time
	assumption   assumption
	// burst is what this host let through since burstAt, a short time ago.
	burst   float64
	burstAt time.Time
	// counted is what was counted in all since the account was opened.
	counted float64
	// used is what this host let through since its start.
	used float64
	// nearUsed is what this host, and those that tell it of themselves, let through
	// since its start.
	nearUsed float64
	// bySource is what is counted for each source within the window. A window is
	// brought up to date when it is used.
	bySource map[source]*window
	// silent holds the sources that are silent, or were for long within the window, of
	// so many hosts in all.
	silent []silentSource
	hosts  int
	// heard is what each other host said it had let through, and summed what each
	// said of its data centre.
	heard  map[source]float64
	summed map[ident.Host]float64
	// assumed is what was counted for each source since it fell silent.
	assumed map[source]float64
}

// newAccount returns the account of a team whose use in the two halves of the window
// before is known.
func newAccount(now time.Time, l Limits, q route.Quota, earlier, later float64) *account {
	a := &account{
		limits:   l,
		quota:    q,
		at:       now,
		hosts:    1,
		bySource: make(map[source]*window),
		heard:    make(map[source]float64),
		summed:   make(map[ident.Host]float64),
		assumed:  make(map[source]float64),
	}
	a.window = newLateWindow(now, l.Window, earlier, later)
	a.half = newLateWindow(now, l.Window/2, 0, later)
	a.told = newWindow(now, l.Window, 0, 0)
	return a
}

// halfShare is the part of the limit that may be used within half a window.
const halfShare = 0.65

// assumption is what a host that starts without news takes for granted.
type assumption struct {
	// before is the part of the limit that was used in the window before, evenly.
	before float64
	// limit is the part of the limit that is given out in the first window.
	limit float64
}

var (
	calm = assumption{before: calmShare, limit: calmLimit}
	busy = assumption{before: 1, limit: startShare}
)

// startShare is the part of the limit that a busy team may use in the first window
// after a start.
const startShare = 0.6

// newAssumedAccount returns the account of a team on a host that started without
// knowing what was used before.
func newAssumedAccount(started, now time.Time, l Limits, q route.Quota, as assumption) *account {
	a := newAccount(started, l, q, 0, 0)
	a.at = now
	a.assume(started, now, as)
	return a
}

// assume takes for granted what was used before the start, besides what was counted
// since.
func (a *account) assume(started, now time.Time, as assumption) {
	since := a.counted
	before := as.before * most(a.limits, a.quota)
	a.window = newWindow(started, a.limits.Window, before/2, before/2)
	a.half = newWindow(started, a.limits.Window/2, before/4, before/4)
	a.window.advance(now)
	a.half.advance(now)
	a.window.add(since)
	a.half.add(since)
	a.assumption = as
	a.unknownUntil = started.Add(a.limits.Window)
}

// most returns what a quota allows in one window.
func most(l Limits, q route.Quota) float64 {
	quota := q.PerSecond*l.Window.Seconds() + q.Burst
	return quota*(1+l.Overage) + allowanceShare*l.Allowance
}

// limit returns what may be used in the window that ends now. After a change of
// the quota it goes over from the old limit to the new one within a window, since
// what was used before was allowed then.
func (a *account) limit(now time.Time) float64 {
	target := most(a.limits, a.quota)
	if now.Before(a.unknownUntil) {
		// What is assumed for the past leaves the window bit by bit; only a part of
		// it is given out again.
		known := 1 - a.unknownUntil.Sub(now).Seconds()/a.limits.Window.Seconds()
		first := max(a.assumption.limit, a.assumption.before)
		return target * (first - known*(first-a.assumption.limit))
	}
	rest := 1 - now.Sub(a.changed).Seconds()/a.limits.Window.Seconds()
	if rest <= 0 || a.before <= target {
		return target
	}
	return target + rest*(a.before-target)
}

func (a *account) requota(now time.Time, q route.Quota) {
	a.before = a.limit(now)
	a.changed = now
	a.quota = q
}

// advance brings the account up to now. The silent hosts' shares are counted as
// used.
func (a *account) advance(now time.Time, silent []silentSource, hosts int) {
	a.silent, a.hosts = silent, max(hosts, 1)
	elapsed := now.Sub(a.at).Seconds()
	if elapsed <= 0 {
		return
	}
	a.at = now
	a.window.advance(now)
	a.half.advance(now)
	a.told.advance(now)
	share := elapsed * most(a.limits, a.quota) / a.limits.Window.Seconds() / float64(a.hosts)
	for _, s := range silent {
		if s.back {
			continue
		}
		assumed := share * float64(s.hosts)
		a.assumed[s.source] += assumed
		a.addFor(s.source, assumed)
	}
}

// addFor counts what a source used.
func (a *account) addFor(from source, amount float64) {
	w := a.bySource[from]
	if w == nil {
		w = newWindow(a.at, a.limits.Window, 0, 0)
		a.bySource[from] = w
	}
	w.advance(a.at)
	w.add(amount)
	a.add(amount)
}

// withinShare says whether the hosts that talk stay within their share of the limit
// while others are silent, and for a window after that. Groups of hosts that cannot
// talk then stay within the limit together, whatever they used before.
func (a *account) withinShare(cost, limit float64) bool {
	if len(a.silent) == 0 {
		return true
	}
	group, heard := a.window.sum, a.hosts
	for _, s := range a.silent {
		heard -= s.hosts
		if w := a.bySource[s.source]; w != nil {
			w.advance(a.at)
			group -= w.sum
		}
	}
	share := float64(heard) / float64(a.hosts)
	return group+cost <= share*limit
}

// hear takes in what another host has let through in all, which is less than before
// after it gave something back.
func (a *account) hear(from source, use Usage) {
	before, known := a.heard[from]
	a.heard[from] = use.Total
	if !known && use.WarmedUp {
		// How long ago it let that through is not known; it is part of what this
		// account was opened with.
		return
	}
	// A host that has not run for a window let all of it through within one.
	a.nearUsed += use.Total - before
	a.countFor(from, use.Total-before)
}

// hearSum takes in what the hosts of another data centre have let through since the
// start of the one that tells. It is counted only if the others' sums are not.
func (a *account) hearSum(dc ident.DataCentre, host ident.Host, used float64, counted bool) {
	before, known := a.summed[host]
	a.summed[host] = used
	if known && counted {
		a.countFor(source{dataCentre: dc}, used-before)
	}
}

// countFor counts what a source let through besides what was told before. What was
// counted for it while it was silent counts towards it.
func (a *account) countFor(from source, more float64) {
	a.told.add(more)
	if assumed := a.assumed[from]; assumed > 0 {
		more = max(0, more-assumed)
		delete(a.assumed, from)
	}
	a.addFor(from, more)
}

// restarted notes that another host counts from zero again. What was counted for it
// while it was silent does not cover what its new process lets through.
func (a *account) restarted(from source) {
	a.heard[from] = 0
	delete(a.assumed, from)
}

// forget notes that a host's sums begin from zero again. What it counted meanwhile,
// another host of its data centre told.
func (a *account) forget(host ident.Host) { delete(a.summed, host) }

// take lets a request through if its cost fits in the window.
func (a *account) take(now time.Time, cost float64) bool {
	limit := a.limit(now)
	taken := cost + a.headroom(now, cost, limit)
	if a.window.sum+taken > limit || a.half.sum+taken > halfShare*limit || !a.withinShare(cost, limit) {
		return false
	}
	a.charge(cost)
	return true
}

// slack is what is kept for hosts whose news come late.
type slack struct {
	// news is how old the news of other hosts may be under load.
	news time.Duration
	// most bounds what is kept, as a part of the limit. It leaves a team its quota
	// without the overage.
	most float64
}

var (
	slackOfHosts = slack{news: 30 * time.Millisecond, most: 0.05}
	slackOfSums  = slack{news: 130 * time.Millisecond, most: 0.09}
)

// headroom returns what is kept for the other hosts. Each may just now have let
// through as much as this one, and this host will hear of it too late.
func (a *account) headroom(now time.Time, cost, limit float64) float64 {
	s := slackOfHosts
	if len(a.summed) > 0 {
		s = slackOfSums
	}
	if now.Sub(a.burstAt) > s.news {
		a.burst, a.burstAt = 0, now
	}
	return min(float64(a.hosts-1)*(a.burst+cost), s.most*limit)
}

func (a *account) charge(cost float64) {
	a.burst += cost
	a.add(cost)
	a.told.add(cost)
	a.used += cost
	a.nearUsed += cost
}

func (a *account) add(amount float64) {
	a.counted += amount
	a.window.add(amount)
	a.half.add(amount)
}

func (a *account) giveBack(cost float64) {
	a.add(-cost)
	a.told.add(-cost)
	a.used -= cost
	a.nearUsed -= cost
}

// wait returns how long it takes until a request of that cost fits.
func (a *account) wait(now time.Time, cost float64) time.Duration {
	limit := a.limit(now)
	taken := cost + a.headroom(now, cost, limit)
	return max(a.window.until(a.window.sum+taken-limit), a.half.until(a.half.sum+taken-halfShare*limit))
}
