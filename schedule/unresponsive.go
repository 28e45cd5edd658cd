package schedule

import "time"

const (
	// silenceTimeout is how long a target may leave a request without a response, while
	// it sends nothing for other requests either, before it is ejected.
	silenceTimeout = 1200 * time.Millisecond
	// concurrentSilenceTimeout is the timeout for plain services if several requests are
	// unanswered; a single request may simply take long.
	concurrentSilenceTimeout = 500 * time.Millisecond
	// minSilentRequests is the number of unanswered requests for which
	// concurrentSilenceTimeout applies.
	minSilentRequests = 2
)

// ejectUnresponsive ejects targets that have running requests and have stopped
// responding.
func (s *Scheduler) ejectUnresponsive(now time.Time) {
	var unanswered map[*target]int
	for _, r := range s.running {
		t := r.target
		if !r.firstEventAt.IsZero() || now.Sub(t.lastResponseAt) <= concurrentSilenceTimeout || now.Sub(r.dispatchedAt) <= concurrentSilenceTimeout {
			continue
		}
		if unanswered == nil {
			unanswered = make(map[*target]int)
		}
		unanswered[t]++
		long := now.Sub(r.dispatchedAt) > silenceTimeout && now.Sub(t.lastResponseAt) > silenceTimeout
		plain := s.pools[t.Pool].engine == nil
		if long || plain && unanswered[t] >= minSilentRequests {
			before := t.health
			t.health.eject(now, baseEjection)
			s.recordHealthChange(t, before, causeSilence)
		}
	}
}
