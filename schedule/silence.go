package schedule

import "time"

const (
	// silence is how long a target may leave a request without any sign of life,
	// while it sends nothing else either, before it rests.
	silence = 1200 * time.Millisecond
	// sharedSilence is that time for plain services if several requests wait: one
	// alone may just take long.
	sharedSilence = 500 * time.Millisecond
	// sharedRequests is how many that must be.
	sharedRequests = 2
)

// restSilent lets targets rest that have requests and have fallen silent.
func (s *Scheduler) restSilent(now time.Time) {
	var waiting map[*target]int
	for _, r := range s.running {
		t := r.target
		if !r.firstAt.IsZero() || now.Sub(t.heard) <= sharedSilence || now.Sub(r.since) <= sharedSilence {
			continue
		}
		if waiting == nil {
			waiting = make(map[*target]int)
		}
		waiting[t]++
		long := now.Sub(r.since) > silence && now.Sub(t.heard) > silence
		plain := s.pools[t.Pool].engine == nil
		if long || plain && waiting[t] >= sharedRequests {
			before := t.health
			t.health.restFor(now, firstRest)
			s.note(t, before, causeSilence)
		}
	}
}
