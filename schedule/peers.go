package schedule

import (
	"iter"
	"maps"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// backlogTTL is how long another host's queue counts after it was last
	// heard.
	backlogTTL = 250 * time.Millisecond
	// peerStateTTL is how long the load of a host counts that has fallen silent;
	// its requests may go on at the targets for a while.
	peerStateTTL = 2 * time.Second
)

// peerState is what another host told last, or the sum of what the hosts of another
// data centre told.
type peerState struct {
	state      State
	receivedAt time.Time
	// hosts is the number of hosts whose state it is.
	hosts int
	// direct says that the host itself told it.
	direct bool
}

// ApplyPeerState takes in what another host tells of itself.
func (s *Scheduler) ApplyPeerState(now time.Time, host ident.Host, state State) {
	s.peers[host] = s.replacePeerState(s.peers[host], &peerState{state: state, receivedAt: now, hosts: 1, direct: true})
	for _, p := range state.PrefixLocations {
		s.prefixes.record(now, p.Hash, p.Target)
	}
}

// ApplyDataCentreState takes in the sum of what the hosts of another data centre have.
func (s *Scheduler) ApplyDataCentreState(now time.Time, dc ident.DataCentre, hosts int, state State) {
	s.dcAggregates[dc] = s.replacePeerState(s.dcAggregates[dc], &peerState{state: state, receivedAt: now, hosts: hosts})
}

// replacePeerState takes the older news out of the sums and the newer into them.
func (s *Scheduler) replacePeerState(before, after *peerState) *peerState {
	if before != nil {
		s.addToAggregates(before, removed)
		if !after.state.Observed {
			after.state.Observations = before.state.Observations
		}
		if after.state.Demands == nil {
			after.state.Demands = before.state.Demands
		}
	}
	s.addToAggregates(after, added)
	return after
}

// addToAggregates adds news to the sums of each target, or takes them out.
func (s *Scheduler) addToAggregates(p *peerState, sign sign) {
	for i := range p.state.Loads {
		load := &p.state.Loads[i]
		t := s.targets[load.Target]
		if t == nil {
			continue
		}
		t.peers.addLoad(load, sign)
		if p.direct {
			t.directPeers.addLoad(load, sign)
		}
	}
	for i := range p.state.Observations {
		seen := &p.state.Observations[i]
		t := s.targets[seen.Target]
		if t == nil {
			continue
		}
		t.peers.addObservation(seen, sign)
		if p.direct {
			t.directPeers.addObservation(seen, sign)
		}
	}
	for i := range p.state.Demands {
		told := &p.state.Demands[i]
		s.poolOf(told.Pool).peerDemandOf(told.Rank).add(told, sign)
	}
}

// rebuildAggregates adds up anew what the other hosts have on each target, after targets or
// hosts came or went.
func (s *Scheduler) rebuildAggregates() {
	for _, t := range s.targets {
		t.peers, t.directPeers = peerAggregate{}, peerAggregate{}
	}
	for _, p := range s.pools {
		clear(p.peerDemands)
	}
	for peer := range s.peerStates() {
		s.addToAggregates(peer, added)
	}
}

// peerStates returns what is known of all other hosts.
func (s *Scheduler) peerStates() iter.Seq[*peerState] {
	return func(yield func(*peerState) bool) {
		for _, peer := range s.peers {
			if !yield(peer) {
				return
			}
		}
		for _, region := range s.dcAggregates {
			if !yield(region) {
				return
			}
		}
	}
}

// ExpirePeers drops the hosts that have not been heard for long.
func (s *Scheduler) ExpirePeers(now time.Time) {
	count := len(s.peers) + len(s.dcAggregates)
	maps.DeleteFunc(s.peers, func(_ ident.Host, p *peerState) bool { return now.Sub(p.receivedAt) > peerStateTTL })
	maps.DeleteFunc(s.dcAggregates, func(_ ident.DataCentre, p *peerState) bool { return now.Sub(p.receivedAt) > peerStateTTL })
	if len(s.peers)+len(s.dcAggregates) < count {
		s.rebuildAggregates()
	}
}

// SetPeerCount tells how many other hosts there are. While some are not heard, their load
// is only known from what the targets report.
func (s *Scheduler) SetPeerCount(now time.Time, others int) {
	s.peerCount = others
	s.updatePeersMissing(now)
}

func (s *Scheduler) updatePeersMissing(now time.Time) {
	heard := 0
	for peer := range s.peerStates() {
		if now.Sub(peer.receivedAt) < backlogTTL {
			heard += peer.hosts
		}
	}
	if blind := heard < s.peerCount; blind != s.peersMissing {
		s.peersMissing = blind
		for _, t := range s.targets {
			t.peersMissing = blind
		}
	}
}

// peersAhead returns how many requests of other hosts come before w.
func (s *Scheduler) peersAhead(now time.Time, name ident.Pool, w *queuedRequest) int {
	slack := w.latestDispatch.Sub(now)
	ahead := 0
	for peer := range s.peerStates() {
		if now.Sub(peer.receivedAt) > backlogTTL {
			continue
		}
		for _, b := range peer.state.Backlogs {
			if b.Pool == name {
				ahead += b.countAhead(now.Sub(peer.receivedAt), w, slack)
			}
		}
	}
	return ahead
}

// LocalState returns what to tell the other hosts. It is to be told: placements are
// returned a few times only, and observations at times or after one changed much.
func (s *Scheduler) LocalState(now time.Time) State {
	state := State{PrefixLocations: s.takePrefixLocations()}
	for _, t := range s.targets {
		if t.running > 0 {
			state.Loads = append(state.Loads, t.load())
		}
	}
	for _, p := range s.pools {
		state.Backlogs = append(state.Backlogs, p.backlogs(now)...)
	}
	if s.observationsUrgent || now.Sub(s.observationsSentAt) >= maxObservationInterval {
		s.observationsUrgent, s.observationsSentAt = false, now
		state.Observed, state.Observations = true, s.observations(now)
		state.Demands = s.localDemands(now)
	}
	return state
}

// maxObservationInterval is the longest time between two tellings of what was seen of
// the targets; bad news are told at once.
const maxObservationInterval = 250 * time.Millisecond

// localDemands returns what arrives at this host.
func (s *Scheduler) localDemands(now time.Time) []Demand {
	list := []Demand{}
	for _, p := range s.pools {
		for rank, d := range p.demands {
			list = append(list, Demand{Pool: p.name, Rank: rank, ArrivalRate: d.rate(now), MeanSlots: d.meanSlots(now)})
		}
	}
	return list
}

func (s *Scheduler) observations(now time.Time) []Observation {
	var list []Observation
	for _, t := range s.targets {
		if seen := t.observation(now); seen.significant() {
			list = append(list, seen)
		}
	}
	return list
}

// backlogs sums up the queue, one entry for each rank, late requests apart.
func (p *pool) backlogs(now time.Time) []Backlog {
	var list []Backlog
	for _, w := range p.queue.items {
		slack := w.latestDispatch.Sub(now)
		if w.late {
			slack = min(slack, -time.Millisecond)
		}
		last := len(list) - 1
		if last < 0 || list[last].Rank != w.request.Rank || (list[last].Slack < 0) != (slack < 0) {
			list = append(list, Backlog{Pool: p.name, Rank: w.request.Rank})
			last++
		}
		list[last].add(1, slack, slack)
	}
	return list
}
