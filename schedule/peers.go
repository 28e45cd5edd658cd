package schedule

import (
	"iter"
	"maps"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// backlogMemory is how long another host's queue counts after it was last
	// heard.
	backlogMemory = 250 * time.Millisecond
	// loadMemory is how long the load of a host counts that has fallen silent;
	// its requests may go on at the targets for a while.
	loadMemory = 2 * time.Second
)

// peerState is what another host told last, or the sum of what the hosts of another
// data centre told.
type peerState struct {
	state State
	heard time.Time
	// hosts is the number of hosts whose state it is.
	hosts int
	// near says that the host itself told it.
	near bool
}

// ApplyPeerState takes in what another host tells of itself.
func (s *Scheduler) ApplyPeerState(now time.Time, host ident.Host, state State) {
	s.peers[host] = s.replace(s.peers[host], &peerState{state: state, heard: now, hosts: 1, near: true})
	for _, p := range state.PrefixLocations {
		s.prefixes.note(now, p.Hash, p.Target)
	}
}

// ApplyDataCentreState takes in the sum of what the hosts of another data centre have.
func (s *Scheduler) ApplyDataCentreState(now time.Time, dc ident.DataCentre, hosts int, state State) {
	s.regions[dc] = s.replace(s.regions[dc], &peerState{state: state, heard: now, hosts: hosts})
}

// replace takes the older news out of the sums and the newer into them.
func (s *Scheduler) replace(before, after *peerState) *peerState {
	if before != nil {
		s.count(before, removed)
		if !after.state.Observed {
			after.state.Observations = before.state.Observations
		}
		if after.state.Demands == nil {
			after.state.Demands = before.state.Demands
		}
	}
	s.count(after, added)
	return after
}

// count adds news to the sums of each target, or takes them out.
func (s *Scheduler) count(p *peerState, sign sign) {
	for i := range p.state.Loads {
		load := &p.state.Loads[i]
		t := s.targets[load.Target]
		if t == nil {
			continue
		}
		t.others.count(load, sign)
		if p.near {
			t.near.count(load, sign)
		}
	}
	for i := range p.state.Observations {
		seen := &p.state.Observations[i]
		t := s.targets[seen.Target]
		if t == nil {
			continue
		}
		t.others.observe(seen, sign)
		if p.near {
			t.near.observe(seen, sign)
		}
	}
	for i := range p.state.Demands {
		told := &p.state.Demands[i]
		s.poolOf(told.Pool).othersOf(told.Rank).count(told, sign)
	}
}

// sumLoads adds up anew what the other hosts have on each target, after targets or
// hosts came or went.
func (s *Scheduler) sumLoads() {
	for _, t := range s.targets {
		t.others, t.near = othersLoad{}, othersLoad{}
	}
	for _, p := range s.pools {
		clear(p.others)
	}
	for peer := range s.news() {
		s.count(peer, added)
	}
}

// news returns what is known of all other hosts.
func (s *Scheduler) news() iter.Seq[*peerState] {
	return func(yield func(*peerState) bool) {
		for _, peer := range s.peers {
			if !yield(peer) {
				return
			}
		}
		for _, region := range s.regions {
			if !yield(region) {
				return
			}
		}
	}
}

// ExpirePeers drops the hosts that have not been heard for long.
func (s *Scheduler) ExpirePeers(now time.Time) {
	count := len(s.peers) + len(s.regions)
	maps.DeleteFunc(s.peers, func(_ ident.Host, p *peerState) bool { return now.Sub(p.heard) > loadMemory })
	maps.DeleteFunc(s.regions, func(_ ident.DataCentre, p *peerState) bool { return now.Sub(p.heard) > loadMemory })
	if len(s.peers)+len(s.regions) < count {
		s.sumLoads()
	}
}

// SetPeerCount tells how many other hosts there are. While some are not heard, their load
// is only known from what the targets report.
func (s *Scheduler) SetPeerCount(now time.Time, others int) {
	s.members = others
	s.updateBlind(now)
}

func (s *Scheduler) updateBlind(now time.Time) {
	heard := 0
	for peer := range s.news() {
		if now.Sub(peer.heard) < backlogMemory {
			heard += peer.hosts
		}
	}
	if blind := heard < s.members; blind != s.blind {
		s.blind = blind
		for _, t := range s.targets {
			t.blind = blind
		}
	}
}

// peersAhead returns how many requests of other hosts come before w.
func (s *Scheduler) peersAhead(now time.Time, name ident.Pool, w *waiting) int {
	slack := w.lapse.Sub(now)
	ahead := 0
	for peer := range s.news() {
		if now.Sub(peer.heard) > backlogMemory {
			continue
		}
		for _, b := range peer.state.Backlogs {
			if b.Pool == name {
				ahead += b.ahead(now.Sub(peer.heard), w, slack)
			}
		}
	}
	return ahead
}

// LocalState returns what to tell the other hosts. It is to be told: placements are
// returned a few times only, and observations at times or after one changed much.
func (s *Scheduler) LocalState(now time.Time) State {
	state := State{PrefixLocations: s.takePlacements()}
	for _, t := range s.targets {
		if t.running > 0 {
			state.Loads = append(state.Loads, t.load())
		}
	}
	for _, p := range s.pools {
		state.Backlogs = append(state.Backlogs, p.backlogs(now)...)
	}
	if s.observeSoon || now.Sub(s.observedAt) >= observationInterval {
		s.observeSoon, s.observedAt = false, now
		state.Observed, state.Observations = true, s.observations(now)
		state.Demands = s.ownDemands(now)
	}
	return state
}

// observationInterval is the longest time between two tellings of what was seen of
// the targets; bad news are told at once.
const observationInterval = 250 * time.Millisecond

// ownDemands returns what arrives at this host.
func (s *Scheduler) ownDemands(now time.Time) []Demand {
	list := []Demand{}
	for _, p := range s.pools {
		for rank, d := range p.demands {
			list = append(list, Demand{Pool: p.name, Rank: rank, ArrivalRate: d.rate(now), MeanSlots: d.slots(now)})
		}
	}
	return list
}

func (s *Scheduler) observations(now time.Time) []Observation {
	var list []Observation
	for _, t := range s.targets {
		if seen := t.observation(now); seen.worthTelling() {
			list = append(list, seen)
		}
	}
	return list
}

// backlogs sums up the queue, one entry for each rank, late requests apart.
func (p *pool) backlogs(now time.Time) []Backlog {
	var list []Backlog
	for _, w := range p.queue.items {
		slack := w.lapse.Sub(now)
		if w.late {
			slack = min(slack, -time.Millisecond)
		}
		last := len(list) - 1
		if last < 0 || list[last].Rank != w.request.Rank || (list[last].Slack < 0) != (slack < 0) {
			list = append(list, Backlog{Pool: p.name, Rank: w.request.Rank})
			last++
		}
		list[last].include(1, slack, slack)
	}
	return list
}
