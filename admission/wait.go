package admission

import "time"

const (
	// leastShare is the part of the capacity that a tier is thought to get at
	// least, however much the higher ones ask for.
	leastShare = 0.05
	// minRetryAfter and maxRetryAfter bound what callers are told.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// capacity counts the slots of the pool.
func (s *Scheduler) capacity(now time.Time) float64 {
	slots := 0
	for _, target := range s.routes {
		slots += target.Slots(now)
	}
	return float64(slots)
}

// wait predicts how long a request at the end of the tier's queue waits.
func (s *Scheduler) wait(now time.Time, rank int) time.Duration {
	return s.waitBehind(now, rank, now.Add(noDeadline))
}

// waitBehind predicts how long a request of the tier waits for those that are
// served before it: all that are queued in higher tiers, and those of its own
// tier with an earlier deadline. They are served by the slots that the arrivals
// of the higher tiers leave.
func (s *Scheduler) waitBehind(now time.Time, rank int, deadline time.Time) time.Duration {
	capacity := s.capacity(now)
	until := time.Duration(0)
	if capacity == 0 {
		capacity, until = s.capacityAfterProbe(now)
	}
	if capacity == 0 {
		return maxRetryAfter
	}
	ahead, taken := 0.0, 0.0
	for _, tier := range s.tiers {
		if tier.rank >= rank {
			if tier.rank == rank {
				ahead += tier.backlog.until(now, deadline)
			}
			break
		}
		ahead += tier.backlog.total
		taken += tier.demand.rate(now)
	}
	left := max(capacity-taken, leastShare*capacity)
	return until + duration(ahead/left)
}

// capacityAfterProbe counts the slots that the pool has when its failing targets
// are back, and the time until the first of them is probed. A pool whose targets
// all fail at one moment mostly has them back soon; what does not come back is
// refused when its deadline is near.
func (s *Scheduler) capacityAfterProbe(now time.Time) (float64, time.Duration) {
	slots := 0
	until := maxRetryAfter
	for _, target := range s.routes {
		if target.Leaving || !target.Breaker.Tripped() {
			continue
		}
		slots += target.Limit.Slots()
		until = min(until, max(0, target.Breaker.NextProbe().Sub(now)))
	}
	return float64(slots), until
}

// retryAfter tells a refused caller of the tier when to come back.
func (s *Scheduler) retryAfter(now time.Time, rank int) time.Duration {
	wait := s.wait(now, rank)
	return min(maxRetryAfter, max(minRetryAfter, wait.Round(time.Second)))
}

// firstQueued returns the request that is first in the order of service, or nil.
func (s *Scheduler) firstQueued() *queued {
	for _, tier := range s.tiers {
		if q := tier.first(); q != nil {
			return q
		}
	}
	return nil
}
