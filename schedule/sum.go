package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// AggregateState returns the state of this host and of those that it hears itself, added up,
// and their number. It is for hosts in other data centres.
func (s *Scheduler) AggregateState(now time.Time) (sum State, hosts int) {
	sum.Observed = now.Sub(s.sumObservedAt) >= sumObservationInterval
	if sum.Observed {
		s.sumObservedAt = now
	}
	for _, t := range s.targets {
		if load := t.nearLoad(); load.Running > 0 {
			sum.Loads = append(sum.Loads, load)
		}
		if seen := t.nearObservation(now); sum.Observed && seen.worthTelling() {
			sum.Observations = append(sum.Observations, seen)
		}
	}
	backlogs := newBacklogSum()
	for _, p := range s.pools {
		backlogs.add(p.backlogs(now), 0)
	}
	hosts = 1
	for _, peer := range s.peers {
		if age := now.Sub(peer.heard); age < backlogMemory {
			backlogs.add(peer.state.Backlogs, age)
			hosts++
		}
	}
	sum.Backlogs = backlogs.list()
	sum.Demands = s.nearDemands(now)
	return sum, hosts
}

// sumObservationInterval is the least time between two tellings of what was seen of
// the targets in sums, which are dear: they go to other data centres.
const sumObservationInterval = time.Second

// nearLoad returns what this host and those that it hears itself have on the target.
func (t *target) nearLoad() TargetLoad {
	load := t.load()
	load.Running += t.near.Running
	load.PrefillTokens += t.near.PrefillTokens
	load.KVTokens += t.near.KVTokens
	return load
}

// nearObservation returns what these hosts saw of the target. That it rests is not
// told: hosts elsewhere may reach what is cut off from here.
func (t *target) nearObservation(now time.Time) Observation {
	seen := t.observation(now)
	seen.Ejected = false
	seen.Successes += t.near.Good
	seen.Failures += t.near.Bad
	if seen.Speeds.PrefillRate == 0 {
		seen.Speeds.PrefillRate = t.near.meanSpeeds().PrefillRate
	}
	if seen.Speeds.EventInterval == 0 {
		seen.Speeds.EventInterval = t.near.meanSpeeds().EventInterval
	}
	return seen
}

// nearDemands returns what arrives at this host and those that it hears itself.
func (s *Scheduler) nearDemands(now time.Time) []Demand {
	list := s.ownDemands(now)
	for _, peer := range s.peers {
		list = append(list, peer.state.Demands...)
	}
	return mergeDemands(list)
}

// mergeDemands adds up what is told of the same rank of the same pool.
func mergeDemands(list []Demand) []Demand {
	type key struct {
		pool ident.Pool
		rank Rank
	}
	places := make(map[key]int)
	merged := []Demand{}
	for _, d := range list {
		place, known := places[key{d.Pool, d.Rank}]
		if !known {
			places[key{d.Pool, d.Rank}] = len(merged)
			merged = append(merged, d)
			continue
		}
		merged[place].ArrivalRate += d.ArrivalRate
		merged[place].MeanSlots += d.MeanSlots
	}
	return merged
}
