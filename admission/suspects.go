package admission

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
)

// handleTargetCrash records the crash of a running request's target. The other
// requests that were running there report the same crash and are not counted
// again.
func (s *Scheduler) handleTargetCrash(now time.Time, r *runningRequest) {
	target := r.target
	target.Breaker.RecordFailure(now)
	s.prefixes.RemoveTarget(target.Target)
	if r.crash != nil {
		return
	}
	crash := s.crashTracker.recordCrash(now, runningDigests(target))
	for _, other := range target.running.items {
		other.crash = crash
	}
	s.updateSuspects(now)
	s.refuseQuarantined(now)
}

func runningDigests(target *targetState) []quarantine.Digest {
	var digests []quarantine.Digest
	for _, r := range target.running.items {
		if digest := r.request.Digest; digest != 0 && !slices.Contains(digests, digest) {
			digests = append(digests, digest)
		}
	}
	return digests
}

// markSuspect counts a running request among its target's suspects if its
// digest has a strike.
func (s *Scheduler) markSuspect(now time.Time, r *runningRequest) {
	if !r.suspect && s.crashTracker.isSuspect(now, r.request.Digest) {
		r.suspect = true
		r.target.Suspects++
	}
}

// updateSuspects applies changed strike counts to all running and queued
// requests.
func (s *Scheduler) updateSuspects(now time.Time) {
	for _, r := range s.running {
		s.markSuspect(now, r)
	}
	for _, q := range s.queue {
		q.work.Suspect = s.crashTracker.isSuspect(now, q.request.Digest)
	}
}

// refuseQuarantined refuses the queued requests whose digest is now
// quarantined.
func (s *Scheduler) refuseQuarantined(now time.Time) {
	for _, q := range s.queuedByArrival() {
		if expiry, quarantined := s.crashTracker.quarantineExpiry(now, q.request.Digest); quarantined {
			s.queueRefusal(q, outcome.Quarantined, "requests like this one crashed targets", expiry.Sub(now))
		}
	}
}
