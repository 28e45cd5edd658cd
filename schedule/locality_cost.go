package schedule

import "time"

// The constants hold where nothing was measured, and in systems in which all hosts exchange their
// states.
const (
	// otherCellPenalty is the cost, in seconds, of using a target of another cell. This host
	// knows an older state of it, and seldom has a connection to it.
	otherCellPenalty = 0.02
	// remotePenalty is the cost, in seconds, of using a target in another data centre.
	remotePenalty = 0.003
	// aggregatedPenalty is the additional cost, in seconds, if the hosts of that data
	// centre are only known in aggregate: this host knows an older state of those targets
	// than they do.
	aggregatedPenalty = 0.1
)

// localityCost returns the cost of the place of a target, in seconds: the distance, and the wait for
// requests of other hosts of which this one does not know yet.
func (s *Scheduler) localityCost(now time.Time, p *pool, t *target) float64 {
	return s.distanceCost(now, t) + s.stalenessCost(now, p, t)
}

// distanceCost returns the cost of the distance to a target, in seconds.
func (s *Scheduler) distanceCost(now time.Time, t *target) float64 {
	if t.DataCentre == s.dataCentre {
		return 0
	}
	known := s.localityOf(now, t.DataCentre)
	switch {
	case !known.measured || s.constantDistances:
		return remotePenalty
	case !s.ratedHosts():
		return max(known.distance, remotePenalty)
	default:
		return known.distance
	}
}

// stalenessCost returns the cost, in seconds, of what may have changed at a target since this host
// learned of its load: the requests that the other hosts may have sent there, each of which takes a
// slot for the service time. Of load that is older than the service time, nothing is left.
//
// Their number is drawn at random for each decision, because hosts that know the same states would
// otherwise all choose the same target.
//
// For engines the constants hold: a request occupies a slot for several times as long as states are
// old, so that most of what is known still holds.
func (s *Scheduler) stalenessCost(now time.Time, p *pool, t *target) float64 {
	arrivals, service := p.measuredDemand()
	if service == 0 || p.engine != nil || !s.ratedHosts() || s.constantDistances {
		return s.constantStaleness(t)
	}
	age := min(s.localityOf(now, t.DataCentre).stateAge, service)
	unseen := arrivals / float64(max(len(p.targets), 1)) * age
	// The other hosts send a target hardly more in one service time than it has slots.
	unseen = min(unseen, float64(t.Slots))
	return 2 * s.random() * unseen * service / float64(max(t.Slots, 1))
}

// constantStaleness returns the constant for a target whose load is known late, in seconds.
func (s *Scheduler) constantStaleness(t *target) float64 {
	switch {
	case t.otherCell:
		return otherCellPenalty
	case t.DataCentre != s.dataCentre && s.dcAggregates[t.DataCentre] != nil:
		return aggregatedPenalty
	default:
		return 0
	}
}

// measuredDemand returns the arrivals per second at the other hosts, and their mean service time in
// seconds, or 0 while they have reported none.
func (p *pool) measuredDemand() (arrivals, service float64) {
	slots := 0.0
	for i := range p.peerDemands.entries {
		arrivals += p.peerDemands.entries[i].value.rate
		slots += p.peerDemands.entries[i].value.slots
	}
	// Sums from which reports were subtracted may be a little below zero.
	if arrivals <= minDemand || slots <= minDemand {
		return 0, 0
	}
	return arrivals, slots / arrivals
}

// minDemand is the least sum of demands, in requests per second and in slots, that is more than the
// rounding error of sums.
const minDemand = 1e-6
