package admission

import "time"

const (
	// leastShare is the part of the capacity that a tier is thought to get at
	// least, however much the higher ones ask for.
	minCapacityShare = 0.05
	// minRetryAfter and maxRetryAfter bound what callers are told.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// capacity counts the slots of the pool.
func (s *Scheduler) capacity(now time.Time) float64 {
	slots := 0
	for _, target := range s.routingTargets {
		slots += target.Slots(now)
	}
	return float64(slots)
}

// wait predicts how long a request at the end of the tier's queue waits.
func (s *Scheduler) predictWait(now time.Time, rank int) time.Duration {
	return s.predictWaitUntilDue(now, rank, now.Add(assumedDeadline))
}

// waitBehind predicts how long a request of the tier waits for those that are
// served before it: all that are queued in higher tiers, and those of its own
// tier with an earlier deadline. They are served by the slots that the arrivals
// of the higher tiers leave.
func (s *Scheduler) predictWaitUntilDue(now time.Time, rank int, deadline time.Time) time.Duration {
	capacity := s.capacity(now)
	untilProbe := time.Duration(0)
	if capacity == 0 {
		capacity, untilProbe = s.capacityAfterProbe(now)
	}
	if capacity == 0 {
		return maxRetryAfter
	}
	ahead, higherDemand := 0.0, 0.0
	for _, tier := range s.tiers {
		if tier.rank >= rank {
			if tier.rank == rank {
				ahead += tier.backlog.dueBy(now, deadline)
			}
			break
		}
		ahead += tier.backlog.total
		higherDemand += tier.demand.rate(now)
	}
	left := max(capacity-higherDemand, minCapacityShare*capacity)
	return untilProbe + secondsToDuration(ahead/left)
}

// capacityAfterProbe counts the slots that the pool has when its failing targets
// are back, and the time until the first of them is probed. A pool whose targets
// all fail at one moment mostly has them back soon; what does not come back is
// refused when its deadline is near.
func (s *Scheduler) capacityAfterProbe(now time.Time) (float64, time.Duration) {
	slots := 0
	untilProbe := maxRetryAfter
	for _, target := range s.routingTargets {
		if target.Leaving || !target.Health.Failing() {
			continue
		}
		slots += target.Limit.Slots()
		untilProbe = min(untilProbe, max(0, target.Health.Retry().Sub(now)))
	}
	return float64(slots), untilProbe
}

// retryAfter tells a refused caller of the tier when to come back.
func (s *Scheduler) retryAfter(now time.Time, rank int) time.Duration {
	wait := s.predictWait(now, rank)
	return min(maxRetryAfter, max(minRetryAfter, wait.Round(time.Second)))
}

// firstQueued returns the request that is first in the order of service, or nil.
func (s *Scheduler) firstQueued() *queuedRequest {
	for _, tier := range s.tiers {
		if q := tier.nextToServe(); q != nil {
			return q
		}
	}
	return nil
}
