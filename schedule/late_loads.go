package schedule

import "time"

// updateLateLoads finds out from time to time for which pools states are older than requests take.
func (s *Scheduler) updateLateLoads(now time.Time) {
	if age := now.Sub(s.lateLoadsAt); age >= 0 && age < localityInterval {
		return
	}
	s.lateLoadsAt = now
	// The states that a far host or an aggregate tells of are as old as an interval, on average: half of
	// it at the sender and half of it here.
	age := s.stateTTL.Seconds() / stateTTLIntervals
	for _, p := range s.poolOrder {
		if p.engine != nil {
			continue
		}
		_, service := p.measuredDemand()
		if !s.ratedHosts() || s.constantDistances {
			service = 0
		}
		if age < service {
			service = 0
		}
		for _, t := range p.targets {
			t.late.configure(service, age, p.objective, t.Slots)
		}
	}
}

// updateLateMeans updates the mean loads of plain services before a newer state is applied.
func (s *Scheduler) updateLateMeans(now time.Time) {
	for _, p := range s.poolOrder {
		if p.engine != nil || !s.ratedHosts() {
			continue
		}
		for _, t := range p.targets {
			t.late.update(now, t.peers.Running)
		}
	}
}
