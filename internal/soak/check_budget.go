package soak

import (
	"fmt"
	"sort"
	"time"

	"github.com/cornelyard/cornelyard/internal/verdict"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

// serviceLoad holds the times of the requests for a service and of their arrivals beyond the
// first, in order.
type serviceLoad struct {
	requests []time.Time
	retries  []time.Time
}

// checkRetryBudget checks the arrivals beyond the first of each request in the sliding
// windows that begin or end with one of them.
func (r *runner) checkRetryBudget() verdict.Verdict {
	v := verdict.Verdict{Promise: RetriesWithinBudget}
	for service, load := range r.serviceLoads() {
		for _, at := range load.retries {
			for _, from := range []time.Time{at, at.Add(-retryWindow)} {
				retries, bound := load.retriesAndBound(from)
				v.Check(float64(retries) <= bound, func() string {
					return fmt.Sprintf("%s: %d retries in the window from %s, more than %.1f", service, retries, from.Format("15:04:05.000"), bound)
				})
			}
		}
	}
	return v
}

// retriesAndBound returns the retries in the window that begins at from, and how many the
// budget allows. It counts the requests of that window, of the one half a window before and
// of the one before, whichever has most.
func (l *serviceLoad) retriesAndBound(from time.Time) (retries int, bound float64) {
	requests := 0
	for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
		requests = max(requests, countWithin(l.requests, from.Add(-back)))
	}
	return countWithin(l.retries, from), retryRatio*float64(requests) + retryAllowance
}

// countWithin returns how many of the sorted times are in the window that begins at from. Both
// ends count.
func countWithin(times []time.Time, from time.Time) int {
	end := from.Add(retryWindow)
	first := sort.Search(len(times), func(i int) bool { return !times[i].Before(from) })
	beyond := sort.Search(len(times), func(i int) bool { return times[i].After(end) })
	return beyond - first
}

// serviceLoads returns the load of each service.
func (r *runner) serviceLoads() map[string]*serviceLoad {
	loads := map[string]*serviceLoad{platformtest.Service: {}, platformtest.ModelService: {}}
	for _, c := range r.callers.calls {
		load := loads[c.service()]
		load.requests = append(load.requests, c.started)
	}
	r.system.crashing.Range(func(_, value any) bool {
		load := loads[platformtest.Service]
		load.requests = append(load.requests, value.(*crashingRequest).sentTimes()...)
		return true
	})
	for _, list := range r.system.arrivals() {
		for _, a := range list[1:] {
			load := loads[a.target.service]
			load.retries = append(load.retries, a.At)
		}
	}
	for _, load := range loads {
		sortTimes(load.requests)
		sortTimes(load.retries)
	}
	return loads
}
