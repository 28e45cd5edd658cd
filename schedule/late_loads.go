package schedule

import "time"

// updateLateLoads determines, at most once per localityInterval, for which pools states are older than
// requests take. Their service time contains the distance and the wait at targets, so that the estimate
// is not used while queues make it longer than that age.
func (s *Scheduler) updateLateLoads(now time.Time) {
	if age := now.Sub(s.lateLoadsAt); age >= 0 && age < localityInterval {
		return
	}
	s.lateLoadsAt = now
	// The loads in states of far hosts and in aggregates are as old as an interval, on average: half of
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
