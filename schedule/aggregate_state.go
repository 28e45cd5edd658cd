package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// AggregateState returns the aggregate state of this host and of the hosts that send
// it their own state, and the number of these hosts. It is for hosts in other data
// centres.
func (s *Scheduler) AggregateState(now time.Time) (aggregate State, hosts int) {
	aggregate.Observed = now.Sub(s.aggregateObservationsSentAt) >= aggregateObservationInterval
	if aggregate.Observed {
		s.aggregateObservationsSentAt = now
		aggregate.Crashes = newestCrashes(s.crashes.CrashesSince(now, now.Add(-crashReportWindow)))
	}
	for _, t := range s.targets {
		if load := t.directLoad(); load.Running > 0 {
			aggregate.Loads = append(aggregate.Loads, load)
		}
		if observation := t.directObservation(now); aggregate.Observed && observation.significant() {
			aggregate.Observations = append(aggregate.Observations, observation)
		}
	}
	backlogs := newBacklogTotal()
	for _, p := range s.pools {
		backlogs.add(p.backlogs(now), 0)
	}
	hosts = 1
	for peer := range s.directPeerStates() {
		if age := now.Sub(peer.receivedAt); age < s.stateTTL {
			backlogs.add(peer.state.Backlogs, age)
			hosts++
		}
	}
	aggregate.Backlogs = backlogs.list()
	aggregate.Demands = s.directDemands(now)
	aggregate.TeamLoads = s.directTeamLoads(now)
	aggregate.Limits = s.directLimits(now)
	aggregate.LeavingTargets = s.leavingTargets()
	aggregate.BrittleTargets = s.directBrittle(now)
	aggregate.MachineStates = s.directMachineStates(now)
	aggregate.Responses = s.directResponses(now)
	return aggregate, hosts
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
	observation := t.observation(now)
	observation.Ejected = false
	observation.Successes += t.directPeers.Successes
	observation.Failures += t.directPeers.Failures
	if observation.Speeds.PrefillRate == 0 {
		observation.Speeds.PrefillRate = t.directPeers.meanSpeeds().PrefillRate
	}
	if observation.Speeds.EventInterval == 0 {
		observation.Speeds.EventInterval = t.directPeers.meanSpeeds().EventInterval
	}
	return observation
}

// directDemands returns the demand at this host and its direct peers.
func (s *Scheduler) directDemands(now time.Time) []Demand {
	list := s.localDemands(now)
	for peer := range s.directPeerStates() {
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
