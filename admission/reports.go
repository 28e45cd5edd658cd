package admission

import "time"

// Load takes in what a target told about itself.
func (s *Scheduler) Load(now time.Time, l LoadReport) {
	if target := s.byTarget[l.Target]; target != nil {
		target.Load.Report(l.At, l.Running+l.Waiting)
	}
}

// Peer takes in a hint about the pool in another data centre.
func (s *Scheduler) Peer(now time.Time, p PeerPool) { s.peers.note(p) }

// Strike takes in a strike record of another owner.
func (s *Scheduler) Strike(now time.Time, d Digest, count int, expiry time.Time) {
	if s.strikes.told(now, d, count, expiry) {
		s.updateSuspects(now)
		s.refuseQuarantined(now)
	}
}

// Strikes returns the strikes given here, for the other owners.
func (s *Scheduler) Strikes(now time.Time) []StrikeRecord { return s.strikes.records(now) }
