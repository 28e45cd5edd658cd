package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// AggregateState returns the aggregate state of this host and of the hosts that send
// it their own state, and the number of these hosts. It is for hosts in other data
// centres.
func (s *Scheduler) AggregateState(now time.Time) (sum State, hosts int) {
	sum.Observed = now.Sub(s.aggregateObservationsSentAt) >= aggregateObservationInterval
	if sum.Observed {
		s.aggregateObservationsSentAt = now
	}
	for _, t := range s.targets {
		if load := t.directLoad(); load.Running > 0 {
			sum.Loads = append(sum.Loads, load)
		}
		if seen := t.directObservation(now); sum.Observed && seen.significant() {
			sum.Observations = append(sum.Observations, seen)
		}
	}
	backlogs := newBacklogTotal()
	for _, p := range s.pools {
		backlogs.add(p.backlogs(now), 0)
	}
	hosts = 1
	for _, peer := range s.peers {
		if age := now.Sub(peer.receivedAt); age < backlogTTL {
			backlogs.add(peer.state.Backlogs, age)
			hosts++
		}
	}
	sum.Backlogs = backlogs.list()
	sum.Demands = s.directDemands(now)
	return sum, hosts
}

// aggregateObservationInterval is the least time between two reports of observations in
// aggregate states, which are expensive because they cross data centres.
const aggregateObservationInterval = time.Second

// directLoad returns the load that this host and its direct peers put on the target.
func (t *target) directLoad() TargetLoad {
	load := t.load()
	load.Running += t.directPeers.Running
	load.PrefillTokens += t.directPeers.PrefillTokens
	load.KVTokens += t.directPeers.KVTokens
	return load
}

// directObservation returns what this host and its direct peers measured of the target.
// Ejections are not reported: hosts in other data centres may reach a target that is
// cut off from here.
func (t *target) directObservation(now time.Time) Observation {
	seen := t.observation(now)
	seen.Ejected = false
	seen.Successes += t.directPeers.Successes
	seen.Failures += t.directPeers.Failures
	if seen.Speeds.PrefillRate == 0 {
		seen.Speeds.PrefillRate = t.directPeers.meanSpeeds().PrefillRate
	}
	if seen.Speeds.EventInterval == 0 {
		seen.Speeds.EventInterval = t.directPeers.meanSpeeds().EventInterval
	}
	return seen
}

// directDemands returns the demand at this host and its direct peers.
func (s *Scheduler) directDemands(now time.Time) []Demand {
	list := s.localDemands(now)
	for _, peer := range s.peers {
		list = append(list, peer.state.Demands...)
	}
	return mergeDemands(list)
}

// mergeDemands adds up the entries for the same rank of the same pool.
func mergeDemands(list []Demand) []Demand {
	type key struct {
		pool ident.Pool
		rank Rank
	}
	indexes := make(map[key]int)
	merged := []Demand{}
	for _, d := range list {
		index, known := indexes[key{d.Pool, d.Rank}]
		if !known {
			indexes[key{d.Pool, d.Rank}] = len(merged)
			merged = append(merged, d)
			continue
		}
		merged[index].ArrivalRate += d.ArrivalRate
		merged[index].MeanSlots += d.MeanSlots
	}
	return merged
}
