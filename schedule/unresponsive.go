package schedule

import "time"

const (
	// unresponsiveTimeout is how long a target may leave a request without a response,
	// while it sends nothing for other requests either, before it is ejected.
	unresponsiveTimeout = 1200 * time.Millisecond
	// concurrentUnresponsiveTimeout is the timeout for plain services if several
	// requests are unanswered; a single request may simply take long.
	concurrentUnresponsiveTimeout = 500 * time.Millisecond
	// minUnansweredRequests is the number of unanswered requests for which
	// concurrentUnresponsiveTimeout applies.
	minUnansweredRequests = 2
)

// ejectUnresponsive ejects targets that have running requests and have stopped
// responding.
func (s *Scheduler) ejectUnresponsive(now time.Time) {
	var unanswered map[*target]int
	for _, r := range s.running {
		t := r.target
		if !r.firstEventAt.IsZero() || now.Sub(t.lastResponseAt) <= concurrentUnresponsiveTimeout || now.Sub(r.dispatchedAt) <= concurrentUnresponsiveTimeout {
			continue
		}
		if unanswered == nil {
			unanswered = make(map[*target]int)
		}
		unanswered[t]++
		long := now.Sub(r.dispatchedAt) > unresponsiveTimeout && now.Sub(t.lastResponseAt) > unresponsiveTimeout
		plain := s.pools[t.Pool].engine == nil
		if long || plain && unanswered[t] >= minUnansweredRequests {
			before := t.health
			t.health.eject(now, baseEjection)
			s.recordHealthChange(t, before, causeUnresponsive)
		}
	}
}
