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

// MergeStrikes merges the strike count of another owner.
func (s *Scheduler) MergeStrikes(now time.Time, d quarantine.Digest, count int, expiry time.Time) {
	if s.crashTracker.mergeRemote(now, d, count, expiry) {
		s.updateSuspects(now)
		s.refuseQuarantined(now)
	}
}

// LocalStrikes returns the strikes counted by this owner, to be shared with the
// others.
func (s *Scheduler) LocalStrikes(now time.Time) []StrikeRecord { return s.crashTracker.records(now) }
