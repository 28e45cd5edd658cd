package retrybudget

import "time"

// share is the part of the allowance that one host may use. A smaller part takes effect at
// once, a larger one after a window: until then, retries may still count that another host
// made with the part that it has lost.
type share struct {
	window time.Duration
	// hostCount is the number of hosts that divide the allowance, or zero if unknown.
	hostCount int
	// largestCount is the largest number in the window before it became hostCount, at
	// changedAt.
	largestCount int
	changedAt    time.Time
	// startedAt is when the host began to count retries. What was retried before is unknown.
	startedAt time.Time
}

// setHostCount sets the number of hosts.
func (s *share) setHostCount(now time.Time, n int) {
	s.largestCount = s.divisor(now)
	s.hostCount = max(n, 1)
	s.changedAt = now
}

// divisor returns by how many hosts the allowance is divided now.
func (s *share) divisor(now time.Time) int {
	if now.Sub(s.changedAt) < s.window {
		return max(s.hostCount, s.largestCount)
	}
	return s.hostCount
}

// of returns the host's part of the allowance.
func (s *share) of(now time.Time, allowance float64) float64 {
	if s.hostCount == 0 || s.isStarting(now) {
		return 0
	}
	return allowance / float64(s.divisor(now))
}

// isStarting reports whether retries that the host did not count may still be in the window.
func (s *share) isStarting(now time.Time) bool { return now.Sub(s.startedAt) < s.window }
