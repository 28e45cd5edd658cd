package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/route"
)

// RecordLeaving records that a target has said in a response that it is about to end. It gets
// no more requests until another process has its entry. RecordLeaving reports whether that is
// new.
func (s *Scheduler) RecordLeaving(from route.Target) (changed bool) {
	t := s.processOf(from)
	if t == nil || t.leaving {
		return false
	}
	t.leaving = true
	return true
}

// applyLeaving records the processes of targets that, as another host reports, are about to end.
func (s *Scheduler) applyLeaving(reported []TargetProcess) {
	for _, p := range reported {
		if t := s.targets[p.Target]; t != nil && t.StartUnixMs == p.StartUnixMs {
			t.leaving = true
		}
	}
}

// leavingTargets returns the processes that have said that they are about to end, as far as
// other hosts can distinguish them from the next ones.
func (s *Scheduler) leavingTargets() []TargetProcess {
	var list []TargetProcess
	for _, t := range s.targets {
		if t.leaving && t.StartUnixMs != 0 {
			list = append(list, TargetProcess{Target: t.Name, StartUnixMs: t.StartUnixMs})
		}
	}
	return list
}

// RecordPause records that a target has turned a request away and wants no other one from this
// host for a time.
func (s *Scheduler) RecordPause(now time.Time, from route.Target, pause time.Duration) {
	t := s.processOf(from)
	if t == nil {
		return
	}
	if until := now.Add(pause); until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
}

// processOf returns the target if it still runs the same process, or nil.
func (s *Scheduler) processOf(from route.Target) *target {
	t := s.targets[from.Name]
	if t == nil || t.StartUnixMs != from.StartUnixMs || t.Address != from.Address {
		return nil
	}
	return t
}
