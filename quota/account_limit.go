package quota

import (
	"time"

	"github.com/cornelyard/cornelyard/route"
)

// halfWindowShare is the part of the limit that may be used within half a window.
const halfWindowShare = 0.65

// windowLimit returns what a quota allows in one window.
func windowLimit(l Limits, q route.Quota) float64 {
	quota := q.PerSecond*l.Window.Seconds() + q.Burst
	return quota*(1+l.Overage) + allowanceShare*l.Allowance
}

// limit returns what may be used in the window that ends now. After a quota change it
// moves linearly from the old limit to the new one over one window, because earlier
// usage was admitted under the old limit.
func (a *account) limit(now time.Time) float64 {
	target := windowLimit(a.limits, a.quota)
	if now.Before(a.unknownUntil) {
		// The assumed usage leaves the window gradually. Only a part of what it frees
		// may be used again.
		known := 1 - a.unknownUntil.Sub(now).Seconds()/a.limits.Window.Seconds()
		first := max(a.assumption.limit, a.assumption.used)
		return target * (first - known*(first-a.assumption.limit))
	}
	rest := 1 - now.Sub(a.quotaChangedAt).Seconds()/a.limits.Window.Seconds()
	if rest <= 0 || a.previousLimit <= target {
		return target
	}
	return target + rest*(a.previousLimit-target)
}

func (a *account) setQuota(now time.Time, q route.Quota) {
	a.previousLimit = a.limit(now)
	a.quotaChangedAt = now
	a.quota = q
}

// withinReachableShare reports whether the reachable hosts stay within their share of
// the limit. It applies while sources are stale and for one window after a long
// silence, so that the sides of a network partition together stay within the limit,
// whatever they used before.
func (a *account) withinReachableShare(cost, limit float64) bool {
	if len(a.stale) == 0 {
		return true
	}
	used, reachable := a.window.sum, a.hosts
	for _, s := range a.stale {
		reachable -= s.hosts
		if from := a.sources[s.source]; from != nil && from.window != nil {
			from.window.advance(a.updatedAt)
			used -= from.window.sum
		}
	}
	share := float64(reachable) / float64(a.hosts)
	return used+cost <= share*limit
}

// excess returns by how much a request of that cost would exceed the limits of the window
// and of its second half, with the headroom for other hosts. It is not positive if it fits.
func (a *account) excess(now time.Time, cost float64) (window, half float64) {
	limit := a.limit(now)
	required := cost + a.headroom(now, cost, limit)
	return a.window.sum + required - limit, a.halfWindow.sum + required - halfWindowShare*limit
}
