package schedule

import "time"

const (
	// engineSilence and serviceSilence are how long a target may leave a request
	// without any sign of life, while it sends nothing else either, before it
	// rests.
	engineSilence  = 1200 * time.Millisecond
	serviceSilence = 400 * time.Millisecond
)

// restSilent lets targets rest that have requests and have fallen silent.
func (s *Scheduler) restSilent(now time.Time) {
	for _, r := range s.running {
		if !r.firstAt.IsZero() {
			continue
		}
		limit := engineSilence
		if s.pools[r.target.Pool].engine == nil {
			limit = serviceSilence
		}
		if now.Sub(r.since) > limit && now.Sub(r.target.heard) > limit {
			before := r.target.health
			r.target.health.restFor(now, firstRest)
			s.note(r.target, before, causeSilence)
		}
	}
}
