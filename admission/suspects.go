package admission

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

// targetDied takes in that the target of a request died. The other requests that
// were in service there report the same death.
func (s *Scheduler) targetDied(now time.Time, r *running) {
	target := r.target
	target.Breaker.RecordFailure(now)
	s.prefixes.RemoveTarget(target.Target)
	if r.death != nil {
		return
	}
	d := s.strikes.died(now, digestsOf(target))
	for _, other := range target.running.items {
		other.death = d
	}
	s.updateSuspects(now)
	s.refuseQuarantined(now)
}

func digestsOf(target *targetState) []Digest {
	var digests []Digest
	for _, r := range target.running.items {
		if digest := r.request.Digest; digest != 0 && !slices.Contains(digests, digest) {
			digests = append(digests, digest)
		}
	}
	return digests
}

// markSuspect counts a request among its target's suspects if it is one.
func (s *Scheduler) markSuspect(now time.Time, r *running) {
	if !r.suspect && s.strikes.suspect(now, r.request.Digest) {
		r.suspect = true
		r.target.Suspects++
	}
}

// updateSuspects brings all requests up to date with the strikes.
func (s *Scheduler) updateSuspects(now time.Time) {
	for _, r := range s.running {
		s.markSuspect(now, r)
	}
	for _, q := range s.queue {
		q.work.Suspect = s.strikes.suspect(now, q.request.Digest)
	}
}

// refuseQuarantined refuses the queued requests that are now quarantined.
func (s *Scheduler) refuseQuarantined(now time.Time) {
	for _, q := range s.queuedInSequence() {
		if expiry, quarantined := s.strikes.quarantined(now, q.request.Digest); quarantined {
			s.refuse(q, outcome.Quarantined, "requests like this one crashed targets", expiry.Sub(now))
		}
	}
}
