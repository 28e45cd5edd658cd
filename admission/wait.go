package admission

import "time"

const (
	// minCapacityShare is the part of the capacity that a tier is assumed to
	// get at least, however high the demand of the tiers above it.
	minCapacityShare = 0.05
	// minRetryAfter and maxRetryAfter bound the retry hint sent to callers.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// capacity returns the number of usable slots in the pool.
func (s *Scheduler) capacity(now time.Time) float64 {
	slots := 0
	for _, target := range s.routingTargets {
		slots += target.Slots(now)
	}
	return float64(slots)
}

// predictWait predicts how long a new request at the end of the tier's queue
// would wait.
func (s *Scheduler) predictWait(now time.Time, rank int) time.Duration {
	return s.predictWaitUntilDue(now, rank, now.Add(assumedDeadline))
}

// predictWaitUntilDue predicts how long a request of the tier waits for the
// requests served before it: everything queued in higher tiers, and those of
// its own tier with an earlier deadline. They share the capacity that new
// arrivals in higher tiers leave.
func (s *Scheduler) predictWaitUntilDue(now time.Time, rank int, deadline time.Time) time.Duration {
	capacity := s.capacity(now)
	untilProbe := time.Duration(0)
	if capacity == 0 {
		capacity, untilProbe = s.capacityAfterProbe(now)
	}
	if capacity == 0 {
		return maxRetryAfter
	}
	workAhead, higherDemand := 0.0, 0.0
	for _, tier := range s.tiers {
		if tier.rank >= rank {
			if tier.rank == rank {
				workAhead += tier.backlog.dueBy(now, deadline)
			}
			break
		}
		workAhead += tier.backlog.total
		higherDemand += tier.demand.rate(now)
	}
	remaining := max(capacity-higherDemand, minCapacityShare*capacity)
	return untilProbe + secondsToDuration(workAhead/remaining)
}

// capacityAfterProbe returns the number of slots once the failing targets have
// recovered, and the time until the first of them is probed. When all targets
// of a pool fail together they mostly recover soon; requests for which they
// don't are refused as their deadlines approach.
func (s *Scheduler) capacityAfterProbe(now time.Time) (float64, time.Duration) {
	slots := 0
	untilProbe := maxRetryAfter
	for _, target := range s.routingTargets {
		if target.Draining || !target.Breaker.Tripped() {
			continue
		}
		slots += target.Limit.Slots()
		untilProbe = min(untilProbe, max(0, target.Breaker.NextProbe().Sub(now)))
	}
	return float64(slots), untilProbe
}

// retryAfter returns the retry hint for a refused request of the tier.
func (s *Scheduler) retryAfter(now time.Time, rank int) time.Duration {
	wait := s.predictWait(now, rank)
	return min(maxRetryAfter, max(minRetryAfter, wait.Round(time.Second)))
}

// firstQueued returns the first request in the order of service, or nil.
func (s *Scheduler) firstQueued() *queuedRequest {
	for _, tier := range s.tiers {
		if q := tier.nextToServe(); q != nil {
			return q
		}
	}
	return nil
}
