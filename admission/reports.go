package admission

import "time"

// ObserveLoad takes in what a target told about itself.
func (s *Scheduler) ObserveLoad(now time.Time, l LoadReport) {
	if target := s.byTarget[l.Target]; target != nil {
		target.Load.Report(l.At, l.Running+l.Waiting)
	}
}

// UpdatePoolHint takes in a hint about the pool in another data centre.
func (s *Scheduler) UpdatePoolHint(now time.Time, p PoolHint) { s.peers.note(p) }

// MergeStrikes takes in a strike record of another owner.
func (s *Scheduler) MergeStrikes(now time.Time, d Digest, count int, expiry time.Time) {
	if s.strikes.told(now, d, count, expiry) {
		s.updateSuspects(now)
		s.refuseQuarantined(now)
	}
}

// LocalStrikes returns the strikes given here, for the other owners.
func (s *Scheduler) LocalStrikes(now time.Time) []StrikeRecord { return s.strikes.records(now) }
