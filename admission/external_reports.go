package admission

import (
	"time"

	"github.com/cornelyard/cornelyard/quarantine"
)

// ObserveLoad records a target's load report.
func (s *Scheduler) ObserveLoad(now time.Time, l LoadReport) {
	if target := s.targetByName[l.Target]; target != nil {
		target.Load.Report(l.At, l.Running+l.Waiting)
	}
}

// UpdatePoolHint records a hint about the pool in another data centre.
func (s *Scheduler) UpdatePoolHint(now time.Time, hint PoolHint) { s.peerHints.update(hint) }

// MergeCrashes merges the crashes that another owner knows of.
func (s *Scheduler) MergeCrashes(now time.Time, crashes []quarantine.Crash) {
	changed := false
	for _, c := range crashes {
		changed = s.crashes.Merge(now, c) || changed
	}
	if changed {
		s.updateSuspects(now)
		s.refuseQuarantined(now)
	}
}
