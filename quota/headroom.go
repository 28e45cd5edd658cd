package quota

import "time"

// headroomLimits bounds what is kept free for usage that other hosts have not reported
// yet.
type headroomLimits struct {
	// staleness is how old the other hosts' reports may be under load.
	staleness time.Duration
	// maxShare bounds the headroom, as a part of the limit. It is small enough that a
	// team can always use its quota without the overage.
	maxShare float64
}

var (
	hostHeadroom       = headroomLimits{staleness: 30 * time.Millisecond, maxShare: 0.05}
	dataCentreHeadroom = headroomLimits{staleness: 130 * time.Millisecond, maxShare: 0.09}
)

// headroom returns what is kept free for the other hosts. Each may have just admitted
// as much as this one, and its report will arrive too late.
func (a *account) headroom(now time.Time, cost, limit float64) float64 {
	h := hostHeadroom
	if len(a.dataCentreTotals) > 0 {
		h = dataCentreHeadroom
	}
	if now.Sub(a.recentSince) > h.staleness {
		a.recentAdmitted, a.recentSince = 0, now
	}
	return min(float64(a.hosts-1)*(a.recentAdmitted+cost), h.maxShare*limit)
}
