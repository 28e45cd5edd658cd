package schedule

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// minStateTTL is the least time for which the state of another host is up to date after
	// it was received. stateTTLIntervals is the same as a multiple of the interval between
	// two states of a host.
	minStateTTL       = 250 * time.Millisecond
	stateTTLIntervals = 2.5
	// peerStateTTL is how long the load of a host counts after its last state was
	// received; its requests may still be running on the targets for a while.
	peerStateTTL = 2 * time.Second
)

// peerState is the last state received from another host, or the aggregate state of
// the hosts of another data centre.
type peerState struct {
	state      State
	receivedAt time.Time
	// hosts is the number of hosts that the state covers.
	hosts int
	// direct says that the state comes from the host itself and is no aggregate.
	direct bool
	// claims holds the host's rates for targets with limits.
	claims map[ident.Target]float64
	// position is the index in Scheduler.peerOrder.
	position int
}

// ApplyPeerState replaces the known state of another host.
func (s *Scheduler) ApplyPeerState(now time.Time, host ident.Host, state State) {
	state.Loads = s.withoutLostLoads(&state)
	s.updateLateMeans(now)
	after := &peerState{state: state, receivedAt: now, hosts: 1, direct: true}
	before := s.peers[host]
	s.peers[host] = s.replacePeerState(before, after)
	s.updatePeerOrder(before, after)
	s.applyPrefixLocations(now, state.PrefixLocations)
	s.MergeCrashes(now, state.Crashes)
	s.applyTeamLoads(now, s.peers[host])
	s.applyLimits(now, s.peers[host])
	s.applyLeaving(state.LeavingTargets)
	s.applyBrittle(now, state.BrittleTargets)
	s.applyMachineStates(now, state.MachineStates)
}

// ApplyDataCentreState replaces the known aggregate state of the hosts of another data
// centre.
func (s *Scheduler) ApplyDataCentreState(now time.Time, dc ident.DataCentre, hosts int, state State) {
	s.updateLateMeans(now)
	after := &peerState{state: state, receivedAt: now, hosts: hosts}
	before := s.dcAggregates[dc]
	s.dcAggregates[dc] = s.replacePeerState(before, after)
	s.updatePeerOrder(before, after)
	s.MergeCrashes(now, state.Crashes)
	s.applyTeamLoads(now, s.dcAggregates[dc])
	s.applyLimits(now, s.dcAggregates[dc])
	s.applyLeaving(state.LeavingTargets)
	s.applyBrittle(now, state.BrittleTargets)
	s.applyMachineStates(now, state.MachineStates)
}

// replacePeerState replaces the older state in the totals by the newer one. Fields that are
// only sent at intervals are carried over from the older state, and then their totals stay.
func (s *Scheduler) replacePeerState(before, after *peerState) *peerState {
	if before == nil {
		s.replaceLoads(after.receivedAt, nil, after)
		s.addObservations(after, added)
		s.addDemands(after, added)
		return after
	}
	s.replaceLoads(after.receivedAt, before, after)
	if after.state.Observed {
		s.addObservations(before, removed)
		s.addObservations(after, added)
	} else {
		after.state.Observations = before.state.Observations
	}
	if after.state.Demands != nil {
		s.addDemands(before, removed)
		s.addDemands(after, added)
	} else {
		after.state.Demands = before.state.Demands
	}
	return after
}

// addToAggregates adds a state to the totals of each target and pool, or subtracts it.
func (s *Scheduler) addToAggregates(p *peerState, sign sign) {
	s.addLoads(p, sign)
	s.addObservations(p, sign)
	s.addDemands(p, sign)
}

func (s *Scheduler) addLoads(p *peerState, sign sign) {
	for i := range p.state.Loads {
		load := &p.state.Loads[i]
		if t := s.targets[load.Target]; t != nil {
			t.addPeerLoad(load, p.direct, sign)
		}
	}
}

func (s *Scheduler) addObservations(p *peerState, sign sign) {
	for i := range p.state.Observations {
		observation := &p.state.Observations[i]
		if t := s.targets[observation.Target]; t != nil {
			t.addPeerObservation(observation, p.direct, sign)
		}
	}
}

func (s *Scheduler) addDemands(p *peerState, sign sign) {
	for i := range p.state.Demands {
		demand := &p.state.Demands[i]
		s.poolOf(demand.Pool).peerDemandOf(demand.Rank).add(demand, sign)
	}
}

// updatePeerOrder replaces a state in the order of peerStates by a newer one.
func (s *Scheduler) updatePeerOrder(before, after *peerState) {
	if before == nil {
		s.sortPeers()
		return
	}
	after.position = before.position
	s.peerOrder[after.position] = after
}

// sortPeers rebuilds the order of peerStates after a host or data centre was added or removed.
func (s *Scheduler) sortPeers() {
	s.peerOrder = s.peerOrder[:0]
	for _, host := range slices.Sorted(maps.Keys(s.peers)) {
		s.peerOrder = append(s.peerOrder, s.peers[host])
	}
	for _, dc := range slices.Sorted(maps.Keys(s.dcAggregates)) {
		s.peerOrder = append(s.peerOrder, s.dcAggregates[dc])
	}
	for i, peer := range s.peerOrder {
		peer.position = i
	}
}

// rebuildAggregates recomputes the totals of the other hosts after targets or hosts
// were added or removed.
func (s *Scheduler) rebuildAggregates() {
	for _, t := range s.targets {
		t.peers, t.directPeers = peerAggregate{}, peerAggregate{}
	}
	for _, p := range s.pools {
		p.peerDemands.clear()
		p.shares.peersChanged = true
	}
	for peer := range s.peerStates() {
		s.addToAggregates(peer, added)
	}
}

// peerStates iterates over the known states of other hosts and data centres, ordered by name so
// that sums don't depend on the order of a map.
func (s *Scheduler) peerStates() iter.Seq[*peerState] {
	return func(yield func(*peerState) bool) {
		for _, peer := range s.peerOrder {
			if !yield(peer) {
				return
			}
		}
	}
}

// directPeerStates iterates over the known states of other hosts, ordered by name.
func (s *Scheduler) directPeerStates() iter.Seq[*peerState] {
	return func(yield func(*peerState) bool) {
		for _, peer := range s.peerOrder[:len(s.peers)] {
			if !yield(peer) {
				return
			}
		}
	}
}

// ExpirePeers drops the states that are older than peerStateTTL.
func (s *Scheduler) ExpirePeers(now time.Time) {
	count := len(s.peers) + len(s.dcAggregates)
	maps.DeleteFunc(s.peers, func(_ ident.Host, p *peerState) bool { return now.Sub(p.receivedAt) > peerStateTTL })
	maps.DeleteFunc(s.dcAggregates, func(_ ident.DataCentre, p *peerState) bool { return now.Sub(p.receivedAt) > peerStateTTL })
	if len(s.peers)+len(s.dcAggregates) < count {
		s.sortPeers()
		s.rebuildAggregates()
	}
}

// SetStateInterval sets the longest regular time between two states of another host, or
// between two aggregate states of another data centre.
func (s *Scheduler) SetStateInterval(interval time.Duration) {
	s.stateTTL = max(minStateTTL, time.Duration(stateTTLIntervals*float64(interval)))
}

// SetPeers sets the other hosts with their data centres. While the state of some of them is
// missing, their load is only known from the load that the targets report.
func (s *Scheduler) SetPeers(now time.Time, others map[ident.Host]ident.DataCentre) {
	s.peerCount = len(others)
	s.hostDataCentres = others
	for _, p := range s.pools {
		p.shares.rated = s.ratedHosts()
	}
	s.updatePeersMissing(now)
	s.shareAllSlots(now)
}

func (s *Scheduler) updatePeersMissing(now time.Time) {
	known := 0
	for peer := range s.peerStates() {
		if now.Sub(peer.receivedAt) < s.stateTTL {
			known += peer.hosts
		}
	}
	if missing := known < s.peerCount; missing != s.peersMissing {
		s.peersMissing = missing
		for _, t := range s.targets {
			t.peersMissing = missing
		}
	}
}

// peersAhead estimates how many requests of other hosts come before w.
func (s *Scheduler) peersAhead(now time.Time, name ident.Pool, w *queuedRequest) int {
	c := s.competition(now, name, w)
	if share, known := s.poolOf(name).aheadShare(now, w, c); known {
		return c.decided + int(math.Round(share*float64(c.competing)))
	}
	return c.decided + c.earlier
}

// LocalState returns the state to send to the other hosts. The caller must send it:
// each prefix location is returned only twice, and observations only at intervals or
// after an urgent change.
func (s *Scheduler) LocalState(now time.Time) State {
	state := State{
		PrefixLocations: s.takePrefixLocations(),
		CutOff:          s.CutOffPools(),
		Limits:          s.targetLimits(now),
		Leaving:         s.leaving,
		LeavingTargets:  s.leavingTargets(),
		BrittleTargets:  s.brittleTargets(now),
		Responses:       s.responses(now),
		MachineStates:   s.machineStates(now),
	}
	for _, t := range s.targets {
		if t.running > 0 {
			state.Loads = append(state.Loads, t.load())
		}
	}
	for _, p := range s.pools {
		state.Backlogs = append(state.Backlogs, p.backlogs(now)...)
		state.TeamLoads = append(state.TeamLoads, p.teamLoads(now)...)
	}
	observationsDue := s.observationsUrgent || now.Sub(s.observationsSentAt) >= maxObservationInterval
	state.Crashes = s.takeCrashReport(now, observationsDue)
	if observationsDue {
		s.observationsUrgent, s.observationsSentAt = false, now
		state.Observed, state.Observations = true, s.observations(now)
		state.Demands = s.localDemands(now)
	}
	return state
}

// maxObservationInterval is the longest time between two reports of observations;
// ejections and failures are reported at once.
const maxObservationInterval = 250 * time.Millisecond

// localDemands returns the demand at this host.
func (s *Scheduler) localDemands(now time.Time) []Demand {
	list := []Demand{}
	for _, p := range s.pools {
		for _, e := range p.demands.entries {
			list = append(list, Demand{Pool: p.name, Rank: e.rank, ArrivalRate: e.value.rate(now), MeanSlots: e.value.meanSlots(now)})
		}
	}
	return list
}

func (s *Scheduler) observations(now time.Time) []Observation {
	var list []Observation
	for _, t := range s.targets {
		observation := t.observation(now)
		// What this host can't reach, others may.
		observation.Ejected = observation.Ejected && !s.pools[t.Pool].cutOff
		if observation.significant() {
			list = append(list, observation)
		}
	}
	return list
}

// backlogs summarizes the queue, with one entry per rank and separate entries for late
// requests.
func (p *pool) backlogs(now time.Time) []Backlog {
	var list []Backlog
	for _, w := range p.queue.items {
		laxity := w.latestStart.Sub(now)
		if w.late {
			laxity = min(laxity, -time.Millisecond)
		}
		last := len(list) - 1
		if last < 0 || list[last].Rank != w.request.Rank || (list[last].Laxity < 0) != (laxity < 0) {
			list = append(list, Backlog{Pool: p.name, Rank: w.request.Rank})
			last++
		}
		list[last].add(1, laxity, laxity)
	}
	return list
}
