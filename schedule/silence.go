package schedule

import "time"

const (
	// silenceTimeout is how long a target may leave a request without any sign of life,
	// while it sends nothing else either, before it rests.
	silenceTimeout = 1200 * time.Millisecond
	// concurrentSilenceTimeout is that time for plain services if several requests wait: one
	// alone may just take long.
	concurrentSilenceTimeout = 500 * time.Millisecond
	// minSilentRequests is how many that must be.
	minSilentRequests = 2
)

// ejectUnresponsive lets targets rest that have requests and have fallen silent.
func (s *Scheduler) ejectUnresponsive(now time.Time) {
	var waiting map[*target]int
	for _, r := range s.running {
		t := r.target
		if !r.firstEventAt.IsZero() || now.Sub(t.lastResponseAt) <= concurrentSilenceTimeout || now.Sub(r.dispatchedAt) <= concurrentSilenceTimeout {
			continue
		}
		if waiting == nil {
			waiting = make(map[*target]int)
		}
		waiting[t]++
		long := now.Sub(r.dispatchedAt) > silenceTimeout && now.Sub(t.lastResponseAt) > silenceTimeout
		plain := s.pools[t.Pool].engine == nil
		if long || plain && waiting[t] >= minSilentRequests {
			before := t.health
			t.health.eject(now, baseEjection)
			s.recordHealthChange(t, before, causeSilence)
		}
	}
}
