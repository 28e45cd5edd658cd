package quota

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// account tracks the usage of one team over all hosts.
type account struct {
	limits Limits
	quota  route.Quota
	// previousLimit is the window limit that was in force before the quota changed
	// at quotaChangedAt.
	previousLimit  float64
	quotaChangedAt time.Time

	window *window
	// halfWindow covers the second half of the window. It is limited as well, so that
	// the limit also holds if all hosts restart right after a burst and lose the
	// record of it.
	halfWindow *window
	// reported sums what this host and the others reported as admitted within the
	// window, without any assumed usage.
	reported  *window
	updatedAt time.Time
	// unknownUntil is the end of the first window after a start without knowledge of
	// earlier usage. Until then the limit follows assumption.
	unknownUntil time.Time
	assumption   assumption
	// recentAdmitted is what this host admitted since recentSince, which is reset
	// whenever it is older than the headroom's staleness.
	recentAdmitted float64
	recentSince    time.Time
	// total is everything counted since the account was opened.
	total float64
	// hostUsage is what this host admitted since its start.
	hostUsage float64
	// dataCentreUsage is what this host and the hosts that report to it individually
	// admitted since its start.
	dataCentreUsage float64
	// sources holds what is known of the usage of each source.
	sources map[source]*sourceUsage
	// stale holds the sources whose reports are missing, or were for long within the
	// window. hosts is the number of all hosts, including this one.
	stale []staleSource
	hosts int
	// dataCentreTotals holds the last total that each reporter sent for its data centre.
	dataCentreTotals map[ident.Host]float64
}

// newAccount returns the account of a team whose usage in the earlier and later half
// of the preceding window is known.
func newAccount(now time.Time, l Limits, q route.Quota, earlier, later float64) *account {
	a := &account{
		limits:           l,
		quota:            q,
		updatedAt:        now,
		hosts:            1,
		sources:          make(map[source]*sourceUsage),
		dataCentreTotals: make(map[ident.Host]float64),
	}
	a.window = newEndLoadedWindow(now, l.Window, earlier, later)
	a.halfWindow = newEndLoadedWindow(now, l.Window/2, 0, later)
	a.reported = newWindow(now, l.Window, 0, 0)
	return a
}

// newAssumedAccount returns the account of a team on a host that started without
// knowledge of earlier usage.
func newAssumedAccount(started, now time.Time, l Limits, q route.Quota, as assumption) *account {
	a := newAccount(started, l, q, 0, 0)
	a.updatedAt = now
	a.assume(started, now, as)
	return a
}

// assume replaces the usage before the start by an assumed one and keeps what was
// counted since.
func (a *account) assume(started, now time.Time, as assumption) {
	since := a.total
	used := as.used * windowLimit(a.limits, a.quota)
	a.window = newWindow(started, a.limits.Window, used/2, used/2)
	a.halfWindow = newWindow(started, a.limits.Window/2, used/4, used/4)
	a.window.advance(now)
	a.halfWindow.advance(now)
	a.window.add(since)
	a.halfWindow.add(since)
	a.assumption = as
	a.unknownUntil = started.Add(a.limits.Window)
}

// advance moves the account's windows to now. Each source that is stale now is
// assumed to have used its hosts' equal share of the limit meanwhile.
func (a *account) advance(now time.Time, stale []staleSource, hosts int) {
	a.stale, a.hosts = stale, max(hosts, 1)
	elapsed := now.Sub(a.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	a.updatedAt = now
	a.window.advance(now)
	a.halfWindow.advance(now)
	a.reported.advance(now)
	share := elapsed * windowLimit(a.limits, a.quota) / a.limits.Window.Seconds() / float64(a.hosts)
	for _, s := range stale {
		if s.recovered {
			continue
		}
		assumed := share * float64(s.hosts)
		usage := a.sourceOf(s.source)
		usage.assumed += assumed
		a.addFrom(usage, assumed)
	}
}

// admit charges the cost of a request if it fits in the window.
func (a *account) admit(now time.Time, cost float64) bool {
	window, half := a.excess(now, cost)
	if window > 0 || half > 0 || !a.withinReachableShare(cost, a.limit(now)) {
		return false
	}
	a.charge(cost)
	return true
}

// retryAfter returns how long it takes until a request of that cost fits.
func (a *account) retryAfter(now time.Time, cost float64) time.Duration {
	window, half := a.excess(now, cost)
	return max(a.window.timeToFree(window), a.halfWindow.timeToFree(half))
}

func (a *account) charge(cost float64) {
	a.recentAdmitted += cost
	a.add(cost)
	a.reported.add(cost)
	a.hostUsage += cost
	a.dataCentreUsage += cost
}

func (a *account) add(amount float64) {
	a.total += amount
	a.window.add(amount)
	a.halfWindow.add(amount)
}

func (a *account) refund(cost float64) {
	a.add(-cost)
	a.reported.add(-cost)
	a.hostUsage -= cost
	a.dataCentreUsage -= cost
}
