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

// wait predicts how long a request at the end of the tier's queue waits: until
// the queues of this tier and the higher ones are served by the slots that the
// arrivals of the higher ones leave.
func (s *Scheduler) wait(now time.Time, rank int) time.Duration {
	capacity := s.capacity(now)
	if capacity == 0 {
		return maxRetryAfter
	}
	backlog, taken := 0.0, 0.0
	for _, tier := range s.tiers {
		if tier.rank > rank {
			break
		}
		backlog += tier.backlog
		if tier.rank < rank {
			taken += tier.demand.rate(now)
		}
	}
	left := max(capacity-taken, leastShare*capacity)
	return time.Duration(backlog / left * float64(time.Second))
}

// retryAfter tells a refused caller of the tier when to come back.
func (s *Scheduler) retryAfter(now time.Time, rank int) time.Duration {
	wait := s.wait(now, rank)
	return min(maxRetryAfter, max(minRetryAfter, wait.Round(time.Second)))
}
