package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
)

// handleTargetCrash records the crash of a running request's target. The other
// requests that were running there report the same crash and are not counted
// again.
func (s *Scheduler) handleTargetCrash(now time.Time, r *runningRequest) {
	target := r.target
	if r.crashRecorded {
		return
	}
	crash := quarantine.Crash{Target: target.Name, Process: now.UnixMilli(), At: now, Runs: runsOn(now, target)}
	for _, other := range target.running.items {
		other.crashRecorded = true
	}
	if !s.crashes.Merge(now, crash) {
		return
	}
	s.updateSuspects(now)
	s.refuseQuarantined(now)
}

// recordLost records targets that ended at the same time as one that crashed.
func (s *Scheduler) recordLost(now time.Time, lost []ident.Target) {
	for _, name := range lost {
		s.crashes.Merge(now, quarantine.Crash{Target: name, Process: now.UnixMilli(), At: now})
	}
}

// runsOn returns the requests that run on the target.
func runsOn(now time.Time, target *targetState) []quarantine.Run {
	runs := make([]quarantine.Run, 0, len(target.running.items))
	for _, r := range target.running.items {
		runs = append(runs, r.request.Content.Runs(now.Sub(r.granted), r.trial)...)
	}
	return runs
}

// markSuspect counts a running request among its target's suspects if its
// digest has a strike.
func (s *Scheduler) markSuspect(now time.Time, r *runningRequest) {
	if !r.suspect && s.crashes.IsSuspect(now, r.request.Content) {
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
		q.work.Suspect = s.crashes.IsSuspect(now, q.request.Content)
	}
}

// refuseQuarantined refuses the queued requests whose digest is now
// quarantined.
func (s *Scheduler) refuseQuarantined(now time.Time) {
	for _, q := range s.queuedByArrival() {
		if until, quarantined := s.crashes.QuarantinedUntil(now, q.request.Content); quarantined {
			s.queueRefusal(q, outcome.Quarantined, "requests like this one crashed targets", until.Sub(now))
		}
	}
}
